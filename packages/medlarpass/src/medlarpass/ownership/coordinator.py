"""Answers of a domain's coordinator to servers and entries, without network code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.exceptions import SessionError
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.grant_table import GrantTable
from medlarpass.ownership.server_part import ServerPart
from medlarpass.ownership.server_part import release_key
from medlarpass.ownership.session_table import Session
from medlarpass.ownership.session_table import SessionTable
from medlarpass.ownership.session_table import new_session_id
from medlarpass.ownership.shard import Assignment
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.clock import Clock
    from medlarpass.ownership.server_part import ReleaseKey

MILLISECONDS = 1000


class Coordinator:
    """Joins sessions and grants: a session ends before its grants do, and is never renewed without
    them.

    :param clock: clock of this entry
    :param session_term: session term in seconds
    :param is_holder: tells whether this entry holds the coordinator lease at this moment
    :param new_id: source of session ids
    """

    __slots__ = ("clock", "grants", "is_holder", "parts", "session_term", "sessions", "told")

    def __init__(
        self,
        clock: Clock,
        session_term: float,
        is_holder: Callable[[], bool],
        new_id: Callable[[], str] = new_session_id,
    ) -> None:
        self.clock = clock
        self.session_term = session_term
        self.is_holder = is_holder
        self.sessions = SessionTable(clock, session_term, new_id)
        self.grants = GrantTable(clock, session_term)
        # Releases that each session was told of, so that one that takes long does not end every
        # long poll.
        self.told: dict[str, set[ReleaseKey]] = {}
        self.parts: dict[tuple[str, int], ServerPart] = {}

    def elected(
        self,
        record: pb.GrantRecord | None,
        ballot: pb.Ballot,
        needs_new_epochs: bool,
        entry: str = "",
    ) -> None:
        """Start a term of office.

        :param record: newest record of a majority of voters, or ``None``
        :param ballot: ballot of the election
        :param needs_new_epochs: whether the grants were lost
        :param entry: name of this start of the entry
        """
        self.grants.adopt(record, ballot, needs_new_epochs, entry)
        self.sessions.adopt(self.grants.holders())
        self.told.clear()
        self.parts.clear()

    def tick(self) -> None:
        """End sessions and delegations whose time is over, with their grants."""
        for each in self.sessions.remove_ended():
            self.grants.revoke(each.identity, each.incarnation)
            self.told.pop(each.session, None)
            self.parts.pop((each.identity, each.incarnation), None)
        self.grants.end_expired()

    def announce(self, server: control_pb2.ServerStatus) -> tuple[Session, int] | None:
        """Open a session.

        :param server: announcement of a server
        :returns: session and its term in milliseconds; ``None`` when this entry is not the
            coordinator
        :raises SessionError: the announcement is refused
        """
        self.tick()
        term_ms = self._term_ms(server.identity, server.incarnation)
        if not self._may_answer():
            return None
        session = self.sessions.announce(
            server.identity, server.incarnation, _address(server), term_ms / MILLISECONDS
        )
        return session, term_ms

    def confirm(self, request: pb.HeartbeatRequest) -> None:
        """Take over what a heartbeat says about released grants, if this entry is coordinator.

        :param request: heartbeat of a server
        :raises SessionError: the heartbeat is refused
        """
        self.tick()
        # A former coordinator does not know newer sessions and must not refuse them.
        if not self._may_answer():
            return
        self._find(request)
        for item in request.released:
            self.grants.confirm_release(
                Assignment(item.pool, item.shard, item.key),
                Fence.from_int(item.fence),
                request.identity,
                request.incarnation,
            )

    def answer(self, request: pb.HeartbeatRequest) -> pb.HeartbeatResponse:
        """Answer a heartbeat, at once or at the end of its long poll, and renew the session.

        :param request: heartbeat of a server, after :meth:`confirm`
        """
        self.tick()
        if not self._may_answer():
            return pb.HeartbeatResponse(coordinator=False)
        try:
            session = self._find(request)
        except SessionError as error:
            failure = control_pb2.Failure(code=error.code, message=error.message)
            return pb.HeartbeatResponse(coordinator=True, failure=failure)
        term_ms = self._term_ms(request.identity, request.incarnation)
        self.sessions.renew(session, term_ms / MILLISECONDS)
        part = self._part(request.identity, request.incarnation)
        response = pb.HeartbeatResponse(
            coordinator=True,
            term_ms=term_ms,
            version=self.grants.committed.version,
            release=part.release,
        )
        self.told[request.session] = part.release_keys
        # A committed grant that is no longer live must leave the server before the next version is
        # committed.
        if request.seen != response.version or len(part.grants) != part.committed:
            response.grants_included = True
            response.grants.extend(part.grants)
        return response

    def has_news(self, request: pb.HeartbeatRequest) -> bool:
        """Tell whether a waiting heartbeat should be answered at once.

        :param request: heartbeat of a server
        """
        if request.seen != self.grants.committed.version:
            return True
        wanted = self._part(request.identity, request.incarnation).release_keys
        told = self.told.get(request.session, set())
        if wanted is told:
            return False
        known = told | {release_key(each) for each in request.released}
        return not wanted <= known

    def watch(self, request: pb.WatchDomainRequest, ballot: pb.Ballot) -> pb.WatchDomainResponse:
        """Answer an entry.

        :param request: what the entry knows
        :param ballot: present ballot of the lease
        """
        self.tick()
        if not self._may_answer():
            return pb.WatchDomainResponse(coordinator=False)
        version = self.grants.committed.version
        response = pb.WatchDomainResponse(coordinator=True, ballot=ballot, version=version)
        if (request.known_version, request.known_ballot) != (version, ballot):
            response.grants_included = True
            response.grants.extend(self.grants.visible())
        now = self.clock.now()
        response.servers.extend(
            control_pb2.ServerStatus(
                identity=each.identity,
                incarnation=each.incarnation,
                session_remaining_ms=max(0, int((each.expiry - now) * MILLISECONDS)),
                holds_session=True,
            )
            for each in self.sessions.sessions.values()
        )
        return response

    def _part(self, identity: str, incarnation: int) -> ServerPart:
        part = self.parts.get((identity, incarnation))
        if part is None or part.revision != self.grants.revision:
            part = ServerPart(self.grants, identity, incarnation)
            self.parts[identity, incarnation] = part
        return part

    def _may_answer(self) -> bool:
        return self.grants.is_ready and self.is_holder()

    def _find(self, request: pb.HeartbeatRequest) -> Session:
        return self.sessions.find(
            request.identity, request.incarnation, request.session, _address(request.server)
        )

    def _term_ms(self, identity: str, incarnation: int) -> int:
        return int(self.grants.session_limit(identity, incarnation) * MILLISECONDS)


def _address(server: control_pb2.ServerStatus) -> str:
    return f"{server.ip}:{server.port}"
