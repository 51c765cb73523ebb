"""A backend server as described by its announcements."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.registry.exceptions import InvalidAnnouncementError

if TYPE_CHECKING:
    from medlarpass.rpc import control_pb2 as pb

MAX_PORT_NUMBER = 65535


class ServerState(IntEnum):
    """State of an incarnation; it only changes to a higher value."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    LEAVING = 3

    @classmethod
    def parse(cls, name: str) -> ServerState:
        """Return the state with a name used in announcements.

        :param name: ``starting``, ``ready``, ``draining`` or ``leaving``
        :raises InvalidAnnouncementError: the name is not known
        """
        for state in cls:
            if state.wire_name == name:
                return state
        raise InvalidAnnouncementError(f"server state {name!r} is not known")

    @property
    def wire_name(self) -> str:
        """Name used in announcements."""
        return self.name.lower()


class Server(Value):
    """One incarnation of a backend server.

    :param identity: identity of the server
    :param incarnation: integer that increases with each start of the server
    :param domain: failure domain
    :param ip: address for requests
    :param port: port for requests
    :param pools: names of the pools that it serves
    :param slots: maximum number of concurrent requests
    :param connections: maximum number of connections
    :param checks_fences: whether it also checks who sends it an order; key-owning servers always
        check fences, and at-most-once execution never depends on this field
    """

    __slots__ = (
        "checks_fences",
        "connections",
        "domain",
        "identity",
        "incarnation",
        "ip",
        "pools",
        "port",
        "slots",
    )

    def __init__(
        self,
        identity: str,
        incarnation: int,
        domain: str,
        ip: str,
        port: int,
        pools: tuple[str, ...],
        slots: int,
        connections: int,
        checks_fences: bool,
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.domain = domain
        self.ip = ip
        self.port = port
        self.pools = pools
        self.slots = slots
        self.connections = connections
        self.checks_fences = checks_fences

    @classmethod
    def from_proto(cls, message: pb.ServerStatus) -> Server:
        """Build a server from its announcement.

        :param message: announcement
        :raises InvalidAnnouncementError: a field is missing or invalid
        """
        if not message.identity or not message.ip or not message.pools:
            raise InvalidAnnouncementError(
                "an announcement needs the fields identity, ip and pools"
            )
        if not 0 < message.port <= MAX_PORT_NUMBER:
            raise InvalidAnnouncementError(f"port {message.port} of {message.identity} is invalid")
        if message.slots == 0 or message.connections == 0:
            raise InvalidAnnouncementError(f"{message.identity} has no slots or no connections")
        return cls(
            message.identity,
            message.incarnation,
            message.domain,
            message.ip,
            message.port,
            tuple(message.pools),
            message.slots,
            message.connections,
            message.checks_fences,
        )
