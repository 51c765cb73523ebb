"""A backend server as it announces itself."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.registry.exceptions import InvalidAnnouncementError

if TYPE_CHECKING:
    from medlarpass.rpc import control_pb2 as pb

LARGEST_PORT = 65535


class ServerState(IntEnum):
    """State of an incarnation, in the only order in which it may change."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    LEAVING = 3

    @classmethod
    def parse(cls, name: str) -> ServerState:
        """Return the state of its name in announcements.

        :param name: ``starting``, ``ready``, ``draining`` or ``leaving``
        :raises InvalidAnnouncementError: another name
        """
        for each in cls:
            if each.spelling == name:
                return each
        raise InvalidAnnouncementError(f"server state {name!r} is not known")

    @property
    def spelling(self) -> str:
        """Name in announcements."""
        return self.name.lower()


class Server(Value):
    """One incarnation of a backend server.

    :param identity: identity of the server
    :param incarnation: integer that grows with each start
    :param domain: failure domain
    :param ip: address for requests
    :param port: port for requests
    :param pools: names of its pools
    :param slots: requests that it runs at a time
    :param connections: connections that it accepts
    :param checks_fences: whether it checks who sends it an order
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
        """Return the server of an announcement.

        :param message: announcement
        :raises InvalidAnnouncementError: a field does not describe a usable server
        """
        if not message.identity or not message.ip or not message.pools:
            raise InvalidAnnouncementError("an announcement needs identity, ip and pools")
        if not 0 < message.port <= LARGEST_PORT:
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
