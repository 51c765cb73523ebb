"""Operations of control for servers and operators."""

from __future__ import annotations

import asyncio
import uuid

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.publication import Publication
from medlarpass.publication import PublicationError
from medlarpass.publication import compress_publication
from medlarpass.publication import decompress_source
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.evacuation_request import EvacuationRequest
from medlarpass_daemon.control.fleet.exceptions import DomainNotKnownYetError
from medlarpass_daemon.control.fleet.exceptions import EvacuationNotFollowedError
from medlarpass_daemon.control.fleet.exceptions import InvalidNoticeError
from medlarpass_daemon.control.fleet.exceptions import LeaveNotFollowedError
from medlarpass_daemon.control.fleet.exceptions import NotLeadingError
from medlarpass_daemon.control.fleet.exceptions import NotPublishedError
from medlarpass_daemon.control.fleet.exceptions import TooFewReplicasError
from medlarpass_daemon.control.fleet.exceptions import UnknownDomainError
from medlarpass_daemon.control.fleet.exceptions import UnknownPoolError
from medlarpass_daemon.control.fleet.known_domains import is_discovering
from medlarpass_daemon.control.fleet.known_domains import known_domains
from medlarpass_daemon.control.fleet.leave_request import LeaveRequest
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.large_documents import handle_document
from medlarpass_daemon.waiting import wait_until_set

if TYPE_CHECKING:
    from typing import Any

    from medlarpass.fleet import ServerHeartbeat
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.settings import ControlSettings

#: Maximum time for which a new leader waits for other replicas to join before it accepts changes.
REPLICA_JOIN_SECONDS = 5.0
#: Maximum time for which a confirmation waits for entries. Operators and servers treat a replica as
#: unresponsive after a second, part of which it takes to check and write a publication.
PUBLICATION_TIMEOUT_SECONDS = 0.5
LEAVE_TIMEOUT_SECONDS = 0.4
#: Time after the first message of a server that leaves in which it is confirmed only once entries
#: follow. An entry notices within this time that its stream is dead.
LEAVE_PATIENCE_SECONDS = 3.0
#: Maximum number of leaving servers whose first request is kept; a server repeats it for a few
#: seconds.
MAX_LEAVE_COUNT = 1000
#: Maximum number of heartbeats that are kept until the first publication.
MAX_EARLY_HEARTBEAT_COUNT = 4096
#: Maximum number of servers whose refused heartbeats are remembered, so that each is logged once.
MAX_REFUSED_COUNT = 1000
#: Author in the audit records of evacuations whose caller is not authenticated.
EVACUATION_AUTHOR = "control-listener"
#: Maximum number of watchers named in a log line.
MAX_LOGGED_NAME_COUNT = 8
#: Maximum length of an unknown domain in a log line, in characters.
MAX_LOGGED_DOMAIN_LENGTH = 64


class FleetOperations:
    """Operations that only the leader serves; other replicas return its address.

    :param log: replicated log
    :param fleet: servers and ranges
    :param control: settings of the role
    """

    __slots__ = (
        "control",
        "early_heartbeats",
        "early_term",
        "evacuation_requests",
        "fleet",
        "leave_requests",
        "log",
        "records_in_progress",
        "refused",
        "tasks",
    )

    def __init__(self, log: ReplicaLog, fleet: FleetState, control: ControlSettings) -> None:
        self.log = log
        self.fleet = fleet
        self.control = control
        #: Identities and incarnations that are being written to the log.
        self.records_in_progress: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        #: Latest requests to leave, by identity and incarnation.
        self.leave_requests: dict[tuple[str, int], LeaveRequest] = {}
        #: Commands to start or end an evacuation that are not confirmed yet, by domain.
        self.evacuation_requests: dict[str, EvacuationRequest] = {}
        #: Newest heartbeats before the first publication, by identity, and the term in which they
        #: arrived.
        self.early_heartbeats: dict[str, ServerHeartbeat] = {}
        self.early_term = 0
        #: Identities and pools of refused heartbeats, oldest first.
        self.refused: dict[tuple[str, str], None] = {}

    async def handle_heartbeat(self, heartbeat: ServerHeartbeat) -> None:
        """Process a heartbeat; returning confirms it.

        The confirmation that a server leaves binds all later leaders, so it waits for the log.

        :raises InvalidNoticeError: a field can't be stored in the log
        :raises NotLeadingError: another replica leads
        :raises UnknownPoolError: the publication in force does not have the pool
        :raises NotPublishedError: the server leaves, and nothing was published yet
        :raises UnknownResultError: the result is not known
        """
        self.check_leading()
        _check_storable(heartbeat)
        publication = self.fleet.publication
        if publication is None:
            self._keep_early(heartbeat)
            return
        self._check_pool(heartbeat, publication)
        self._record_heartbeat(heartbeat)
        if heartbeat.is_leaving:
            await self.retire(heartbeat.identity, heartbeat.incarnation)

    async def retire(self, identity: str, incarnation: int | None) -> None:
        """Stop giving new work to a server; returning confirms it.

        :param incarnation: incarnation that leaves; None for the newest known
        :raises LeaveNotFollowedError: entries do not follow yet
        :raises NotLeadingError: another replica leads
        :raises UnknownResultError: the result is not known
        """
        self.check_leading()
        if not await self._wait_until_led(LEAVE_TIMEOUT_SECONDS):
            raise LeaveNotFollowedError("this leader does not serve entries yet")
        member = self.fleet.directory.members.get(identity)
        if incarnation is None:
            incarnation = member.heartbeat.incarnation if member is not None else 0
        if not self.fleet.state.ranges.is_retired(identity, incarnation):
            command = control_pb2.Command(
                retire_server=control_pb2.RetireServer(identity=identity, life=incarnation)
            )
            await self._propose(command)
            events.SERVER_RETIRED.log(server=identity, life=incarnation)
        if self.fleet.directory.retire(identity, incarnation):
            self.fleet.servers_changed()
        leave = self._leave_request(identity, incarnation)
        if not await self._are_watchers_following(leave.position, LEAVE_TIMEOUT_SECONDS):
            if self.fleet.clock.now() - leave.asked_at < LEAVE_PATIENCE_SECONDS:
                raise LeaveNotFollowedError(f"entries do not know yet that {identity} leaves")
            self._log_early_confirmation(leave.position)

    async def set_evacuation(self, domain: str, evacuated: bool) -> None:
        """Start or end the evacuation of a failure domain; returning confirms it.

        The command is in the log of a majority before it is confirmed. The log decides whether it
        is a repetition, since a former leader may not know the newest command.

        :param domain: name of the domain
        :param evacuated: whether its servers get no requests and own no keys
        :raises DomainNotKnownYetError: the domain is not known to this new leader
        :raises EvacuationNotFollowedError: entries do not follow yet
        :raises NotLeadingError: another replica leads
        :raises TooFewReplicasError: replicas are still joining
        :raises UnknownDomainError: the domain is not known
        :raises UnknownResultError: the result is not known
        """
        self.check_leading()
        self._check_domain(domain)
        request = self._evacuation_request(domain, evacuated)
        await self._wait_for_log()
        if (domain in self.fleet.state.tables.evacuated_domains) != evacuated:
            self._check_replicas()
            await self._write_evacuation(domain, evacuated)
        if not await self._wait_until_led(LEAVE_TIMEOUT_SECONDS):
            raise EvacuationNotFollowedError("this leader does not serve entries yet")
        position = self.fleet.evacuation_position()
        if not await self._are_watchers_following(position, LEAVE_TIMEOUT_SECONDS):
            if self.fleet.clock.now() - request.asked_at < LEAVE_PATIENCE_SECONDS:
                raise EvacuationNotFollowedError(f"entries do not follow the state of {domain} yet")
            self._log_early_confirmation(position)
        self.evacuation_requests.pop(domain, None)

    async def publish(self, document: dict[str, Any], source: bytes) -> int:
        """Put routes and pools in force if their version is higher.

        :param document: document of a :class:`~medlarpass.publication.Publication`
        :param source: document as the operator submitted it
        :returns: version in force
        :raises InvalidPublicationError: the document is not valid
        :raises NotLeadingError: another replica leads
        :raises TooFewReplicasError: replicas are still joining
        :raises UnknownResultError: the result is not known
        """
        self.check_leading()
        try:
            publication = await handle_document(
                len(source), Publication.from_document, document, self.fleet.publication
            )
        except PublicationError as error:
            events.PUBLICATION_REFUSED.log(reason=error.message)
            raise
        self.check_leading()
        in_force = self.fleet.state.publication.version
        if publication.version <= in_force:
            events.PUBLICATION_UNCHANGED.log(version=publication.version, in_force=in_force)
            await self._confirm_publication()
            return in_force
        self._check_replicas()
        body = await handle_document(len(source), _compress, publication, source)
        result = await self._propose(control_pb2.Command(publish=body))
        events.PUBLICATION_ACCEPTED.log(
            version=publication.version,
            changed=result.publish.changed,
            routes=len(publication.routes),
        )
        self._record_early(publication)
        await self._confirm_publication()
        return result.publish.version

    async def read_publication(self) -> bytes:
        """Return the newest publication as the operator submitted it.

        :raises NotLeadingError: another replica leads
        :raises NotPublishedError: nothing was published yet
        """
        await self._wait_for_log()
        publication = self.fleet.state.publication
        if not publication.version:
            raise NotPublishedError("nothing was published yet")
        return decompress_source(publication)

    async def _wait_for_log(self) -> None:
        """Wait until this replica has applied all commands that any leader has confirmed.

        :raises NotLeadingError: another replica leads
        """
        replica = self.log.replica
        try:
            index = await replica.read_index()
        except NotLeaderError as error:
            raise NotLeadingError(self.log.leader_address()) from error
        await replica.wait_applied(index)

    async def _wait_until_led(self, timeout: float) -> bool:
        """Wait until this replica sends its own state to entries in the current term.

        Before that, the servers are those of an earlier term of this replica, no entry can have a
        command of this term, and none counts as lagging.

        :param timeout: maximum seconds to wait
        :returns: whether it does now
        :raises NotLeadingError: the leadership ended meanwhile
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while self.fleet.led_term != self.log.replica.term:
            self.check_leading()
            remaining = deadline - loop.time()
            if remaining <= 0:
                return False
            await wait_until_set(self.fleet.changed, remaining)
        return True

    def _check_domain(self, domain: str) -> None:
        self._drop_early_of_other_terms()
        early = {heartbeat.domain for heartbeat in self.early_heartbeats.values()}
        if domain in early or domain in known_domains(self.log, self.fleet):
            return
        if is_discovering(self.log, self.fleet):
            raise DomainNotKnownYetError("this leader may not have heard of all domains yet")
        # The name is not checked otherwise and may be no valid text.
        events.EVACUATION_REFUSED.log(domain=ascii(domain[:MAX_LOGGED_DOMAIN_LENGTH]))
        raise UnknownDomainError("no server, entry or replica of the domain is known")

    def _evacuation_request(self, domain: str, evacuated: bool) -> EvacuationRequest:
        """Return the first of the equal commands in this term, which the callers repeat."""
        term = self.log.replica.term
        request = self.evacuation_requests.get(domain)
        if request is None or (request.evacuated, request.term) != (evacuated, term):
            request = EvacuationRequest(evacuated, term, self.fleet.clock.now())
            self.evacuation_requests[domain] = request
        return request

    async def _write_evacuation(self, domain: str, evacuated: bool) -> None:
        await self._propose(
            control_pb2.Command(
                set_evacuation=control_pb2.SetEvacuation(
                    change_id=uuid.uuid4().hex,
                    author=EVACUATION_AUTHOR,
                    domain=domain,
                    evacuated=evacuated,
                )
            )
        )
        if evacuated:
            events.EVACUATION_STARTED.log(domain=domain)
        else:
            events.EVACUATION_ENDED.log(domain=domain)

    def _check_pool(self, heartbeat: ServerHeartbeat, publication: Publication) -> None:
        """Refuse a heartbeat that names no pool of the publication.

        Its sender is not a server of this deployment, and it must not replace the server whose
        identity or address it names. A server whose pool was removed can still leave.
        """
        if heartbeat.pool in publication.pools or self.fleet.directory.has_joined(heartbeat):
            return
        refused = (heartbeat.identity, heartbeat.pool)
        if refused not in self.refused:
            self.refused[refused] = None
            while len(self.refused) > MAX_REFUSED_COUNT:
                del self.refused[next(iter(self.refused))]
            events.HEARTBEAT_REFUSED.log(server=heartbeat.identity, pool=heartbeat.pool)
        raise UnknownPoolError(f"{heartbeat.identity} names the unknown pool {heartbeat.pool}")

    def _keep_early(self, heartbeat: ServerHeartbeat) -> None:
        """Keep a heartbeat until the first publication tells whether its pool exists."""
        if heartbeat.is_leaving:
            raise NotPublishedError("nothing was published yet")
        self._drop_early_of_other_terms()
        self.early_heartbeats[heartbeat.identity] = heartbeat
        while len(self.early_heartbeats) > MAX_EARLY_HEARTBEAT_COUNT:
            del self.early_heartbeats[next(iter(self.early_heartbeats))]

    def _drop_early_of_other_terms(self) -> None:
        """Drop the heartbeats of an earlier term, whose servers may have ended meanwhile."""
        if self.early_term != self.log.replica.term:
            self.early_heartbeats.clear()
            self.early_term = self.log.replica.term

    def _record_early(self, publication: Publication) -> None:
        self._drop_early_of_other_terms()
        for heartbeat in self.early_heartbeats.values():
            if heartbeat.pool in publication.pools:
                self._record_heartbeat(heartbeat)
        self.early_heartbeats.clear()

    def _record_heartbeat(self, heartbeat: ServerHeartbeat) -> None:
        if self.fleet.is_contested(heartbeat):
            # The leader asks at the address; the server is recorded with a later heartbeat.
            if self.fleet.claims.add(heartbeat):
                events.ADDRESS_CLAIMED.log(
                    server=heartbeat.identity, address=heartbeat.ip, port=heartbeat.port
                )
            return
        if self.fleet.directory.record_heartbeat(heartbeat):
            events.SERVER_JOINED.log(
                server=heartbeat.identity,
                life=heartbeat.incarnation,
                pool=heartbeat.pool,
                domain=heartbeat.domain,
            )
            self._mark_if_retired(heartbeat.identity, heartbeat.incarnation)
            self.fleet.servers_changed()
        changed = self.fleet.directory.update_cold(heartbeat)
        if changed is not None:
            self.fleet.limits.cold_changed(changed)
        if self.fleet.directory.is_current(heartbeat):
            # An outdated one would replace the record of the server that has its address now.
            self._record_server(heartbeat)

    def _leave_request(self, identity: str, incarnation: int) -> LeaveRequest:
        """Return the first request of a server to leave in this term.

        A leaving server repeats it with each heartbeat, and only the first one has to wait.
        """
        request = self.leave_requests.get((identity, incarnation))
        if request is None or request.position[0] != self.fleet.led_term:
            request = LeaveRequest(self.fleet.next_position(), self.fleet.clock.now())
            self.leave_requests[identity, incarnation] = request
        while len(self.leave_requests) > MAX_LEAVE_COUNT:
            del self.leave_requests[next(iter(self.leave_requests))]
        return request

    async def _confirm_publication(self) -> None:
        """Return once all reachable entries have the publication, or after a timeout.

        After the timeout the confirmation is given anyway: the platform allows entries some time
        after a confirmation, and the responses to their reports show that they lack a publication.

        :raises NotLeadingError: the leadership ended meanwhile
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PUBLICATION_TIMEOUT_SECONDS
        await self._wait_until_led(PUBLICATION_TIMEOUT_SECONDS)
        position = self.fleet.publication_position()
        if not await self._are_watchers_following(position, deadline - loop.time()):
            self._log_early_confirmation(position)

    async def _are_watchers_following(self, position: tuple[int, int], timeout: float) -> bool:
        """Wait until all reachable entries have a state of this leader.

        A new leader also waits until the entries can have reported to it, since it does not know
        yet which ones are reachable. Entries that have just lost their stream are waited for.

        :param position: term and feed revision of the state
        :param timeout: maximum seconds to wait
        :raises NotLeadingError: the leadership ended meanwhile; entries follow another replica
        """
        watchers = self.fleet.watchers
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout
        while (
            self.fleet.is_awaiting_reports or watchers.missing_count or watchers.lagging(position)
        ):
            remaining = deadline - loop.time()
            if remaining <= 0:
                self.check_leading()
                return False
            await wait_until_set(watchers.reported, remaining)
        self.check_leading()
        return True

    def _log_early_confirmation(self, position: tuple[int, int]) -> None:
        lagging = self.fleet.watchers.lagging(position)
        events.CONFIRMED_EARLY.log(
            term=position[0],
            mark=position[1],
            behind=lagging[:MAX_LOGGED_NAME_COUNT],
            count=len(lagging),
            missing=self.fleet.watchers.missing_count,
        )

    def check_leading(self) -> None:
        """Check that this replica leads.

        :raises NotLeadingError: another replica leads
        """
        if not self.log.replica.is_leader:
            raise NotLeadingError(self.log.leader_address())

    def _check_replicas(self) -> None:
        """Refuse changes while too few replicas have joined to store them durably.

        Only for a limited time: a system with fewer replicas than the tolerated losses require has
        to work too.
        """
        replica = self.log.replica
        elected_at = replica.elected_at
        is_joining = (
            elected_at is None or self.fleet.clock.now() - elected_at < REPLICA_JOIN_SECONDS
        )
        if is_joining and len(replica.membership.voters) < self.control.min_voters:
            raise TooFewReplicasError("more replicas have to join before a change is safe")

    def _record_server(self, heartbeat: ServerHeartbeat) -> None:
        """Write a server to the log without delaying the confirmation of its heartbeat."""
        known = (heartbeat.identity, heartbeat.incarnation)
        if known in self.records_in_progress or self.fleet.state.servers.has(*known):
            return
        if heartbeat.is_leaving or self.fleet.state.ranges.is_retired(*known):
            return
        self.records_in_progress.add(known)
        task = asyncio.create_task(self._write_record(heartbeat))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write_record(self, heartbeat: ServerHeartbeat) -> None:
        try:
            await self.log.propose(control_pb2.Command(record_server=heartbeat.to_record()))
        except MedlarpassError as error:
            # The next heartbeat causes another attempt.
            events.RECORD_FAILED.log(
                server=heartbeat.identity, life=heartbeat.incarnation, code=error.code
            )
        finally:
            self.records_in_progress.discard((heartbeat.identity, heartbeat.incarnation))

    def _mark_if_retired(self, identity: str, incarnation: int) -> None:
        if self.fleet.state.ranges.is_retired(identity, incarnation):
            self.fleet.directory.retire(identity, incarnation)

    async def _propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        try:
            return await self.log.propose(command)
        except ControlUnavailableError as error:
            raise NotLeadingError(self.log.leader_address()) from error


def _compress(publication: Publication, source: bytes) -> control_pb2.Publish:
    return compress_publication(publication.version, publication.to_json(), source)


def _check_storable(heartbeat: ServerHeartbeat) -> None:
    """Refuse a heartbeat that no message to the log or to entries can hold.

    Recorded, it would end every update of the feed.
    """
    try:
        heartbeat.to_record()
    except (ValueError, TypeError) as error:
        raise InvalidNoticeError(f"heartbeat can't be stored: {error!r}") from error
