"""What servers and operators of the fleet ask of control."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.publication import Publication
from medlarpass.publication import PublicationError
from medlarpass.publication import source_of
from medlarpass.publication import stored
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.exceptions import NotLeadingError
from medlarpass_daemon.control.fleet.exceptions import NotPublishedError
from medlarpass_daemon.control.fleet.exceptions import TooFewReplicasError
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from typing import Any

    from medlarpass.fleet import ServerNotice
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.settings import ControlSettings

#: Seconds that a new leader leaves the other replicas to join before it takes changes anyway.
JOIN_TIME = 5.0
#: Seconds for which a confirmation waits for entries at most. Operators and servers take a replica
#: for silent after a second, and a publication takes some of it to be checked and written.
PUBLICATION_WAIT = 0.5
LEAVE_WAIT = 0.4
#: Leaves whose place in the feed is known; a server repeats its leave for a few seconds.
MOST_LEAVES = 1000
#: Names of watchers in one log line.
MOST_NAMES = 8


class FleetOperations:
    """Calls that the leader answers; other replicas name the leader.

    :param log: replicated log
    :param fleet: servers and ranges
    :param control: settings of the role
    """

    __slots__ = ("control", "fleet", "leaves", "log", "recording", "tasks")

    def __init__(self, log: ReplicaLog, fleet: FleetState, control: ControlSettings) -> None:
        self.log = log
        self.fleet = fleet
        self.control = control
        #: Identities and lives that are on their way to the log.
        self.recording: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        #: Term and mark of the latest leaves, by identity and life.
        self.leaves: dict[tuple[str, int], tuple[int, int]] = {}

    async def notice(self, notice: ServerNotice) -> None:
        """Take a heartbeat; a return confirms it.

        The confirmation that a server is leaving binds all later leaders, so it waits for the log.

        :raises NotLeadingError: another replica leads
        :raises UnknownResultError: the result is not known
        """
        self._check_leading()
        if self.fleet.directory.observe(notice):
            events.SERVER_JOINED.log(
                server=notice.identity, life=notice.life, pool=notice.pool, domain=notice.domain
            )
            self._mark_if_retired(notice.identity, notice.life)
            self.fleet.servers_changed()
        self._record(notice)
        if notice.is_leaving:
            await self.retire(notice.identity, notice.life)

    async def retire(self, identity: str, life: int | None) -> None:
        """Let a server get no new work from now on; a return confirms it.

        :param life: life that leaves; None for the newest known
        :raises NotLeadingError: another replica leads
        :raises UnknownResultError: the result is not known
        """
        self._check_leading()
        member = self.fleet.directory.members.get(identity)
        if life is None:
            life = member.notice.life if member is not None else 0
        if not self.fleet.state.ranges.is_retired(identity, life):
            command = control_pb2.Command(
                retire_server=control_pb2.RetireServer(identity=identity, life=life)
            )
            await self._propose(command)
            events.SERVER_RETIRED.log(server=identity, life=life)
        if self.fleet.directory.retire(identity, life):
            self.fleet.servers_changed()
        await self._wait_until_followed(self._leave_position(identity, life), LEAVE_WAIT)

    async def publish(self, document: dict[str, Any], source: bytes) -> int:
        """Put routes and pools in force if their version is higher.

        :param document: in the form of :class:`~medlarpass.publication.Publication`
        :param source: text of the operator
        :returns: version in force
        :raises InvalidPublicationError: the document is not valid
        :raises NotLeadingError: another replica leads
        :raises TooFewReplicasError: replicas are still joining
        :raises UnknownResultError: the result is not known
        """
        try:
            publication = Publication.from_document(document, self.fleet.publication)
        except PublicationError as error:
            events.PUBLICATION_REFUSED.log(reason=error.message)
            raise
        self._check_leading()
        in_force = self.fleet.state.publication.version
        if publication.version <= in_force:
            events.PUBLICATION_UNCHANGED.log(version=publication.version, in_force=in_force)
            await self._wait_until_followed(self.fleet.publication_position(), PUBLICATION_WAIT)
            return in_force
        self._check_replicas()
        body = stored(publication.version, publication.to_json(), source)
        result = await self._propose(control_pb2.Command(publish=body))
        events.PUBLICATION_ACCEPTED.log(
            version=publication.version,
            changed=result.publish.changed,
            routes=len(publication.routes),
        )
        await self._wait_until_followed(self.fleet.publication_position(), PUBLICATION_WAIT)
        return result.publish.version

    async def read(self) -> bytes:
        """Return the text of the newest publication.

        :raises NotLeadingError: another replica leads
        :raises NotPublishedError: there is none
        """
        replica = self.log.replica
        try:
            index = await replica.read_index()
        except NotLeaderError as error:
            raise NotLeadingError(self.log.leader_address()) from error
        await replica.wait_applied(index)
        publication = self.fleet.state.publication
        if not publication.version:
            raise NotPublishedError("nothing was published yet")
        return source_of(publication)

    def _leave_position(self, identity: str, life: int) -> tuple[int, int]:
        """Return the term and mark under which entries hear that a server leaves.

        A server repeats its leave with each heartbeat, and only the first one has to wait.
        """
        position = self.leaves.get((identity, life))
        if position is None or position[0] != self.fleet.led_term:
            position = self.leaves[identity, life] = self.fleet.next_position()
        while len(self.leaves) > MOST_LEAVES:
            del self.leaves[next(iter(self.leaves))]
        return position

    async def _wait_until_followed(self, position: tuple[int, int], most: float) -> None:
        """Return once all entries that are reached follow a state of this leader.

        A leader that has just been elected does not know yet whom it reaches.

        Those that do not within the bound have the time that the platform gives entries after a
        confirmation, and know from the answers to their reports that they miss something.

        :param position: term and mark of the state
        :param most: seconds after which the confirmation is given all the same
        """
        watchers = self.fleet.watchers
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + most
        while (behind := watchers.behind(position)) or self.fleet.is_gathering:
            rest = give_up_at - loop.time()
            if rest <= 0:
                events.CONFIRMED_EARLY.log(
                    term=position[0],
                    mark=position[1],
                    behind=behind[:MOST_NAMES],
                    count=len(behind),
                )
                return
            await wait_until_set(watchers.reported, rest)

    def _check_leading(self) -> None:
        if not self.log.replica.is_leader:
            raise NotLeadingError(self.log.leader_address())

    def _check_replicas(self) -> None:
        """Refuse what too few disks would hold while the first replicas are still joining.

        The wait is bounded: a system with fewer replicas than the losses ask for has to serve too.
        """
        replica = self.log.replica
        elected_at = replica.elected_at
        is_joining = elected_at is None or self.fleet.clock.now() - elected_at < JOIN_TIME
        if is_joining and len(replica.membership.voters) < self.control.least_voters:
            raise TooFewReplicasError("more replicas have to join before a change is safe")

    def _record(self, notice: ServerNotice) -> None:
        """Let the log remember a server; its confirmation does not wait for that."""
        known = (notice.identity, notice.life)
        if known in self.recording or self.fleet.state.servers.has(*known):
            return
        if notice.is_leaving or self.fleet.state.ranges.is_retired(*known):
            return
        self.recording.add(known)
        task = asyncio.create_task(self._write(notice))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write(self, notice: ServerNotice) -> None:
        try:
            await self.log.propose(control_pb2.Command(record_server=notice.to_record()))
        except MedlarpassError as error:
            # The next heartbeat tries again.
            events.RECORD_FAILED.log(server=notice.identity, life=notice.life, code=error.code)
        finally:
            self.recording.discard((notice.identity, notice.life))

    def _mark_if_retired(self, identity: str, life: int) -> None:
        if self.fleet.state.ranges.is_retired(identity, life):
            self.fleet.directory.retire(identity, life)

    async def _propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        try:
            return await self.log.propose(command)
        except ControlUnavailableError as error:
            raise NotLeadingError(self.log.leader_address()) from error
