"""What a server says of itself in a heartbeat."""

from __future__ import annotations

from medlarpass.base import Value
from medlarpass.rpc import control_pb2


class ServerNotice(Value):
    """A heartbeat of one life of a server.

    :param identity: identity of the server
    :param life: moment of its start; a later start has a larger number
    :param sequence: grows with each notice of a life
    :param pool: name of its pool
    :param ip: address for requests
    :param port: port for requests
    :param domain: failure domain
    :param slots: requests that it runs at a time
    :param is_leaving: whether it wants no new work
    :param warming: seconds during which it is still slow after its start
    """

    __slots__ = (
        "domain",
        "identity",
        "ip",
        "is_leaving",
        "life",
        "pool",
        "port",
        "sequence",
        "slots",
        "warming",
    )

    def __init__(
        self,
        identity: str,
        life: int,
        sequence: int,
        pool: str,
        ip: str,
        port: int,
        domain: str,
        slots: int,
        is_leaving: bool,
        warming: float,
    ) -> None:
        self.identity = identity
        self.life = life
        self.sequence = sequence
        self.pool = pool
        self.ip = ip
        self.port = port
        self.domain = domain
        self.slots = slots
        self.is_leaving = is_leaving
        self.warming = warming

    @property
    def address(self) -> tuple[str, int]:
        """IP number and port for requests."""
        return self.ip, self.port

    def to_record(self) -> control_pb2.RecordServer:
        """Return what the control log remembers."""
        return control_pb2.RecordServer(
            identity=self.identity,
            life=self.life,
            pool=self.pool,
            ip=self.ip,
            port=self.port,
            domain=self.domain,
            slots=self.slots,
        )

    @classmethod
    def from_record(cls, record: control_pb2.RecordServer) -> ServerNotice:
        """Return the notice of a record; each heartbeat of the same life is newer."""
        return cls(
            record.identity,
            record.life,
            -1,
            record.pool,
            record.ip,
            record.port,
            record.domain,
            record.slots,
            False,
            0.0,
        )
