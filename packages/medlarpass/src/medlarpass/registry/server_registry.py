"""Servers that an entry knows from heartbeats and from its peers."""

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

MILLISECONDS = 1000
# Five sessions: a server that only lost its coordinator still gets orders and downloads.
SILENCE_LIMIT = 3.0
# A silent incarnation stays known for a while, so that late news of a peer cannot show it as ready
# again.
MEMORY_LIMIT = 600.0


class Presence(Value):
    """What is known about the newest incarnation of a server.

    :param server: announcement
    :param state: furthest state that the incarnation has reached
    :param heard_at: time of its last word, in seconds
    :param direct: whether this entry itself heard the last word
    :param in_flight: requests that it reported as running
    """

    __slots__ = ("direct", "heard_at", "in_flight", "server", "state")

    def __init__(
        self, server: Server, state: ServerState, heard_at: float, direct: bool, in_flight: int
    ) -> None:
        self.server = server
        self.state = state
        self.heard_at = heard_at
        self.direct = direct
        self.in_flight = in_flight


class ServerRegistry:
    """Aggregate that never goes back to an older incarnation or undoes ``draining`` or ``leaving``.

    :param clock: clock of this entry
    :param silence_limit: age of a server's last word, in seconds, after which it gets no more work
    """

    __slots__ = ("clock", "drained", "presences", "revision", "silence_limit")

    def __init__(self, clock: Clock, silence_limit: float = SILENCE_LIMIT) -> None:
        self.clock = clock
        self.silence_limit = silence_limit
        self.presences: dict[str, Presence] = {}
        self.drained: frozenset[str] = frozenset()
        #: Grows with each new incarnation, state or drain.
        self.revision = 0

    def hear(self, message: pb.ServerStatus) -> None:
        """Note a server's own heartbeat or announcement.

        :param message: announcement with the present state
        :raises InvalidAnnouncementError: the announcement is invalid
        """
        self._note(message, self.clock.now(), direct=True)

    def hear_from_peer(self, message: pb.ServerStatus) -> None:
        """Note what a peer has heard from a server.

        :param message: announcement with state and age of the last heartbeat
        :raises InvalidAnnouncementError: the announcement is invalid
        """
        self._note(message, self.clock.now() - message.age_ms / MILLISECONDS, direct=False)

    def set_drained(self, identities: Iterable[str]) -> None:
        """Replace the servers that operators have drained.

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

    def usable(self, pool: str) -> Iterator[Server]:
        """Yield the servers of a pool that may get new work.

        :param pool: name of the pool
        """
        for each in self.presences.values():
            if pool in each.server.pools and self.is_usable(each.server):
                yield each.server

    def is_usable(self, server: Server) -> bool:
        """Tell whether an incarnation may get new work.

        :param server: incarnation of a server
        """
        present = self.presences.get(server.identity)
        return (
            present is not None
            and present.server.incarnation == server.incarnation
            and present.state is ServerState.READY
            and server.identity not in self.drained
            and not self.is_silent(present)
        )

    def is_silent(self, presence: Presence) -> bool:
        """Tell whether the last word of a server is too old.

        :param presence: what is known about the server
        """
        return self.clock.now() - presence.heard_at > self.silence_limit

    def heard_directly(self) -> list[pb.ServerStatus]:
        """Return the servers that this entry has heard itself, with age, for its peers."""
        return [
            self._status(each)
            for each in self.presences.values()
            if each.direct and not self.is_silent(each)
        ]

    def statuses(self, domain: str) -> list[pb.ServerStatus]:
        """Return all servers of a domain, with the age of their last word.

        :param domain: failure domain
        """
        return [
            self._status(each) for each in self.presences.values() if each.server.domain == domain
        ]

    def forget_old(self) -> None:
        """Remove servers that have been silent for long."""
        oldest = self.clock.now() - MEMORY_LIMIT
        for identity, each in list(self.presences.items()):
            if each.heard_at < oldest:
                SERVER_SILENT.log(server=identity, incarnation=each.server.incarnation)
                del self.presences[identity]

    def _status(self, presence: Presence) -> pb.ServerStatus:
        server = presence.server
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
            state=presence.state.spelling,
            in_flight=presence.in_flight,
            age_ms=round((self.clock.now() - presence.heard_at) * MILLISECONDS),
        )

    def _note(self, message: pb.ServerStatus, heard_at: float, direct: bool) -> None:
        server, state = Server.from_proto(message), ServerState.parse(message.state)
        present = self.presences.get(server.identity)
        if present is not None and server.incarnation < present.server.incarnation:
            return
        if present is None or server.incarnation > present.server.incarnation:
            self.presences[server.identity] = Presence(
                server, state, heard_at, direct, message.in_flight
            )
            self.revision += 1
            SERVER_APPEARED.log(server=server.identity, incarnation=server.incarnation)
            return
        if state > present.state:
            SERVER_STATE_CHANGED.log(server=server.identity, state=state.spelling)
            present.state = state
            self.revision += 1
        if heard_at < present.heard_at:
            return
        present.server = server
        present.heard_at = heard_at
        present.direct = direct
        present.in_flight = message.in_flight
