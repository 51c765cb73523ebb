"""Heartbeats of backend servers."""

from __future__ import annotations

from medlarpass.base import Value
from medlarpass.rpc import control_pb2


class ServerHeartbeat(Value):
    """A heartbeat of one incarnation of a server.

    :param identity: identity of the server
    :param incarnation: start time of the server; a later start has a larger number
    :param sequence: increases with each heartbeat of an incarnation
    :param pool: name of its pool
    :param ip: address for requests
    :param port: port for requests
    :param domain: failure domain
    :param slots: requests that it runs concurrently
    :param is_leaving: whether it asks for no new work
    :param warmup_seconds: seconds for which it will still be slow after its start
    """

    __slots__ = (
        "domain",
        "identity",
        "incarnation",
        "ip",
        "is_leaving",
        "pool",
        "port",
        "sequence",
        "slots",
        "warmup_seconds",
    )

    def __init__(
        self,
        identity: str,
        incarnation: int,
        sequence: int,
        pool: str,
        ip: str,
        port: int,
        domain: str,
        slots: int,
        is_leaving: bool,
        warmup_seconds: float,
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.sequence = sequence
        self.pool = pool
        self.ip = ip
        self.port = port
        self.domain = domain
        self.slots = slots
        self.is_leaving = is_leaving
        self.warmup_seconds = warmup_seconds

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port for requests."""
        return self.ip, self.port

    def to_record(self) -> control_pb2.RecordServer:
        """Return the record for the control log."""
        return control_pb2.RecordServer(
            identity=self.identity,
            life=self.incarnation,
            pool=self.pool,
            ip=self.ip,
            port=self.port,
            domain=self.domain,
            slots=self.slots,
        )

    @classmethod
    def from_record(cls, record: control_pb2.RecordServer) -> ServerHeartbeat:
        """Return a heartbeat from a record, older than every real one of the same incarnation."""
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
