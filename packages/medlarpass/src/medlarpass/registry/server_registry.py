"""Registry of the servers that an entry knows from heartbeats and from its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.registry.events import SERVER_APPEARED
from medlarpass.registry.events import SERVER_DRAINED
from medlarpass.registry.events import SERVER_SILENT
from medlarpass.registry.events import SERVER_STATE_CHANGED
from medlarpass.registry.events import SERVER_UNDRAINED
from medlarpass.registry.server import Server
from medlarpass.registry.server import ServerState
from medlarpass.rpc import control_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from medlarpass.clock import Clock

MILLISECONDS_PER_SECOND = 1000
# Five session terms, so that a server without a coordinator still gets orders and downloads.
HEARTBEAT_TIMEOUT_SECONDS = 3.0
# A timed-out incarnation is kept, so that a delayed report of a peer cannot add it as ready again.
RETENTION_SECONDS = 600.0


class RegisteredServer(Value):
    """The newest known incarnation of a server.

    :param server: server as announced
    :param state: highest state that the incarnation has reached
    :param last_heartbeat_at: clock reading at its last heartbeat, in seconds
    :param direct: whether this entry itself received the last heartbeat
    :param in_flight: number of running requests that it reported
    """

    __slots__ = ("direct", "in_flight", "last_heartbeat_at", "server", "state")

    def __init__(
        self,
        server: Server,
        state: ServerState,
        last_heartbeat_at: float,
        direct: bool,
        in_flight: int,
    ) -> None:
        self.server = server
        self.state = state
        self.last_heartbeat_at = last_heartbeat_at
        self.direct = direct
        self.in_flight = in_flight


class ServerRegistry:
    """Registry that never returns to an older incarnation or to a lower state of an incarnation.

    :param clock: clock of this entry
    :param heartbeat_timeout: time without a heartbeat, in seconds, after which a server gets no new
        requests
    """

    __slots__ = ("clock", "drained", "heartbeat_timeout", "registered_servers", "revision")

    def __init__(self, clock: Clock, heartbeat_timeout: float = HEARTBEAT_TIMEOUT_SECONDS) -> None:
        self.clock = clock
        self.heartbeat_timeout = heartbeat_timeout
        self.registered_servers: dict[str, RegisteredServer] = {}
        self.drained: frozenset[str] = frozenset()
        #: Increases with each new incarnation, state change or change of drained servers.
        self.revision = 0

    def record_heartbeat(self, message: pb.ServerStatus) -> None:
        """Record a heartbeat or announcement that a server sent to this entry.

        :param message: announcement with the current state
        :raises InvalidAnnouncementError: the announcement is invalid
        """
        self._record(message, self.clock.now(), direct=True)

    def record_peer_report(self, message: pb.ServerStatus) -> None:
        """Record a server's heartbeat as reported by a peer.

        :param message: announcement with the state and the age of the last heartbeat
        :raises InvalidAnnouncementError: the announcement is invalid
        """
        self._record(
            message, self.clock.now() - message.age_ms / MILLISECONDS_PER_SECOND, direct=False
        )

    def set_drained(self, identities: Iterable[str]) -> None:
        """Replace the set of servers drained by operators.

        :param identities: identities from the configuration in force
        """
        drained = frozenset(identities)
        for identity in sorted(drained - self.drained):
            SERVER_DRAINED.log(server=identity)
        for identity in sorted(self.drained - drained):
            SERVER_UNDRAINED.log(server=identity)
        if drained != self.drained:
            self.revision += 1
        self.drained = drained

    def available_servers(self, pool: str) -> Iterator[Server]:
        """Yield the servers of a pool that may get new requests.

        :param pool: name of the pool
        """
        for registered in self.registered_servers.values():
            if pool in registered.server.pools and self.is_available(registered.server):
                yield registered.server

    def is_available(self, server: Server) -> bool:
        """Return whether an incarnation may get new requests.

        :param server: incarnation of a server
        """
        registered = self.registered_servers.get(server.identity)
        return (
            registered is not None
            and registered.server.incarnation == server.incarnation
            and registered.state is ServerState.READY
            and server.identity not in self.drained
            and not self.is_timed_out(registered)
        )

    def is_timed_out(self, registered: RegisteredServer) -> bool:
        """Return whether the last heartbeat of a server is too old.

        :param registered: registered server
        """
        return self.clock.now() - registered.last_heartbeat_at > self.heartbeat_timeout

    def direct_statuses(self) -> list[pb.ServerStatus]:
        """Return the servers whose last heartbeat this entry itself received, for its peers."""
        return [
            self._status(registered)
            for registered in self.registered_servers.values()
            if registered.direct and not self.is_timed_out(registered)
        ]

    def statuses(self, domain: str) -> list[pb.ServerStatus]:
        """Return all servers of a domain, with the age of their last heartbeat.

        :param domain: failure domain
        """
        return [
            self._status(registered)
            for registered in self.registered_servers.values()
            if registered.server.domain == domain
        ]

    def remove_expired(self) -> None:
        """Remove servers whose last heartbeat is older than the retention time."""
        expired_before = self.clock.now() - RETENTION_SECONDS
        for identity, registered in list(self.registered_servers.items()):
            if registered.last_heartbeat_at < expired_before:
                SERVER_SILENT.log(server=identity, incarnation=registered.server.incarnation)
                del self.registered_servers[identity]

    def _status(self, registered: RegisteredServer) -> pb.ServerStatus:
        server = registered.server
        return pb.ServerStatus(
            identity=server.identity,
            incarnation=server.incarnation,
            domain=server.domain,
            ip=server.ip,
            port=server.port,
            pools=server.pools,
            slots=server.slots,
            connections=server.connections,
            checks_fences=server.checks_fences,
            state=registered.state.wire_name,
            in_flight=registered.in_flight,
            age_ms=round(
                (self.clock.now() - registered.last_heartbeat_at) * MILLISECONDS_PER_SECOND
            ),
        )

    def _record(self, message: pb.ServerStatus, last_heartbeat_at: float, direct: bool) -> None:
        server, state = Server.from_proto(message), ServerState.parse(message.state)
        registered = self.registered_servers.get(server.identity)
        if registered is not None and server.incarnation < registered.server.incarnation:
            return
        if registered is None or server.incarnation > registered.server.incarnation:
            self.registered_servers[server.identity] = RegisteredServer(
                server, state, last_heartbeat_at, direct, message.in_flight
            )
            self.revision += 1
            SERVER_APPEARED.log(server=server.identity, incarnation=server.incarnation)
            return
        if state > registered.state:
            SERVER_STATE_CHANGED.log(server=server.identity, state=state.wire_name)
            registered.state = state
            self.revision += 1
        if last_heartbeat_at < registered.last_heartbeat_at:
            return
        registered.server = server
        registered.last_heartbeat_at = last_heartbeat_at
        registered.direct = direct
        registered.in_flight = message.in_flight
