"""Handles requests of servers and entries at a domain's coordinator, without network code."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.exceptions import SessionError
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.grant_table import GrantTable
from medlarpass.ownership.server_grants import ServerGrants
from medlarpass.ownership.server_grants import release_key
from medlarpass.ownership.session_table import Session
from medlarpass.ownership.session_table import SessionTable
from medlarpass.ownership.session_table import new_session_id
from medlarpass.ownership.shard import Assignment
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.clock import Clock
    from medlarpass.ownership.server_grants import ReleaseKey

MILLISECONDS_PER_SECOND = 1000


class Coordinator:
    """Keeps sessions and grants consistent.

    A session ends before its grants do, and a response that renews it always covers its grants.

    :param clock: clock of this entry
    :param session_term: session term in seconds
    :param is_holder: returns whether this entry currently holds the coordinator lease
    :param new_id: generates session ids
    """

    __slots__ = (
        "clock",
        "grants",
        "is_holder",
        "sent_releases",
        "server_grants",
        "session_term",
        "sessions",
    )

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
        # Releases that were already sent to each session. They are not sent again at once, so a
        # release that takes long does not end every long poll.
        self.sent_releases: dict[str, set[ReleaseKey]] = {}
        self.server_grants: dict[tuple[str, int], ServerGrants] = {}

    def on_elected(
        self,
        record: pb.GrantRecord | None,
        ballot: pb.Ballot,
        needs_new_epochs: bool,
        entry: str = "",
    ) -> None:
        """Reset sessions and grants after this entry was elected coordinator.

        :param record: newest record that a majority of voters returned, or ``None``
        :param ballot: ballot of the election
        :param needs_new_epochs: whether the grants were lost
        :param entry: proposer name of this entry; see :func:`proposer_name`
        """
        self.grants.adopt(record, ballot, needs_new_epochs, entry)
        self.sessions.adopt(self.grants.holders())
        self.sent_releases.clear()
        self.server_grants.clear()

    def tick(self) -> None:
        """End expired sessions and delegations together with their grants."""
        for session in self.sessions.remove_ended():
            self.grants.revoke(session.identity, session.incarnation)
            self.sent_releases.pop(session.session_id, None)
            self.server_grants.pop((session.identity, session.incarnation), None)
        self.grants.end_expired()

    def announce(self, server: control_pb2.ServerStatus) -> tuple[Session, int] | None:
        """Open a session for a server.

        :param server: announcement of a server
        :returns: session and its term in milliseconds; ``None`` when this entry is not the
            coordinator
        :raises SessionError: the announcement is refused
        """
        self.tick()
        term_ms = self._session_term_ms(server.identity, server.incarnation)
        if not self._is_active_coordinator():
            return None
        session = self.sessions.announce(
            server.identity, server.incarnation, _address(server), term_ms / MILLISECONDS_PER_SECOND
        )
        return session, term_ms

    def confirm_releases(self, request: pb.HeartbeatRequest) -> None:
        """End the grants that a heartbeat reports as released, if this entry is the coordinator.

        :param request: heartbeat of a server
        :raises SessionError: the heartbeat is refused
        """
        self.tick()
        # A former coordinator does not know newer sessions and must not refuse them.
        if not self._is_active_coordinator():
            return
        self._find_session(request)
        for release in request.released:
            self.grants.confirm_release(
                Assignment(release.pool, release.shard, release.key),
                Fence.from_int(release.fence),
                request.identity,
                request.incarnation,
            )

    def respond_to_heartbeat(self, request: pb.HeartbeatRequest) -> pb.HeartbeatResponse:
        """Renew the session of a heartbeat and return the response.

        Called at once, or at the end of the long poll.

        :param request: heartbeat of a server, after :meth:`confirm_releases`
        """
        self.tick()
        if not self._is_active_coordinator():
            return pb.HeartbeatResponse(coordinator=False)
        try:
            session = self._find_session(request)
        except SessionError as error:
            failure = control_pb2.Failure(code=error.code, message=error.message)
            return pb.HeartbeatResponse(coordinator=True, failure=failure)
        term_ms = self._session_term_ms(request.identity, request.incarnation)
        self.sessions.renew(session, term_ms / MILLISECONDS_PER_SECOND)
        server_grants = self._grants_of(request.identity, request.incarnation)
        response = pb.HeartbeatResponse(
            coordinator=True,
            term_ms=term_ms,
            version=self.grants.committed.version,
            release=server_grants.releases,
        )
        self.sent_releases[request.session] = server_grants.release_keys
        # A server must drop a committed grant that has ended before the next version is committed.
        if (
            request.seen != response.version
            or len(server_grants.grants) != server_grants.committed_count
        ):
            response.grants_included = True
            response.grants.extend(server_grants.grants)
        return response

    def has_update(self, request: pb.HeartbeatRequest) -> bool:
        """Return whether a waiting heartbeat should be answered at once.

        :param request: heartbeat of a server
        """
        if request.seen != self.grants.committed.version:
            return True
        current_releases = self._grants_of(request.identity, request.incarnation).release_keys
        sent_releases = self.sent_releases.get(request.session, set())
        if current_releases is sent_releases:
            return False
        known_releases = sent_releases | {release_key(release) for release in request.released}
        return not current_releases <= known_releases

    def watch(self, request: pb.WatchDomainRequest, ballot: pb.Ballot) -> pb.WatchDomainResponse:
        """Return grants and sessions to an entry that watches the domain.

        :param request: version and ballot that the entry already has
        :param ballot: current ballot of the lease
        """
        self.tick()
        if not self._is_active_coordinator():
            return pb.WatchDomainResponse(coordinator=False)
        version = self.grants.committed.version
        response = pb.WatchDomainResponse(coordinator=True, ballot=ballot, version=version)
        if (request.known_version, request.known_ballot) != (version, ballot):
            response.grants_included = True
            response.grants.extend(self.grants.committed_grants())
        now = self.clock.now()
        response.servers.extend(
            control_pb2.ServerStatus(
                identity=session.identity,
                incarnation=session.incarnation,
                session_remaining_ms=max(0, int((session.expiry - now) * MILLISECONDS_PER_SECOND)),
                holds_session=True,
            )
            for session in self.sessions.sessions.values()
        )
        return response

    def _grants_of(self, identity: str, incarnation: int) -> ServerGrants:
        server_grants = self.server_grants.get((identity, incarnation))
        if server_grants is None or server_grants.revision != self.grants.revision:
            server_grants = ServerGrants(self.grants, identity, incarnation)
            self.server_grants[identity, incarnation] = server_grants
        return server_grants

    def _is_active_coordinator(self) -> bool:
        return self.grants.is_ready and self.is_holder()

    def _find_session(self, request: pb.HeartbeatRequest) -> Session:
        return self.sessions.find(
            request.identity, request.incarnation, request.session, _address(request.server)
        )

    def _session_term_ms(self, identity: str, incarnation: int) -> int:
        return int(self.grants.session_limit(identity, incarnation) * MILLISECONDS_PER_SECOND)


def _address(server: control_pb2.ServerStatus) -> str:
    return f"{server.ip}:{server.port}"
