"""A backend server as known to control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.capacity import ColdTime
from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from medlarpass.fleet.server_heartbeat import ServerHeartbeat


class FleetMember:
    """A server with its newest heartbeat.

    :param heartbeat: newest heartbeat
    :param seen_at: time at which it arrived, in seconds
    """

    __slots__ = ("cold", "heartbeat", "is_retired", "seen_at")

    def __init__(self, heartbeat: ServerHeartbeat, seen_at: float) -> None:
        self.heartbeat = heartbeat
        self.seen_at = seen_at
        #: Whether this incarnation gets no new work.
        self.is_retired = False
        #: Cold time that entries are told.
        self.cold = ColdTime()

    def to_proto(
        self, weight: float = 0.0, admitted: float = 0.0, is_evacuated: bool = False
    ) -> fleet_pb2.FleetServer:
        """Return the message for entries.

        :param weight: share of its pool's requests; 0 for the default share
        :param admitted: admitted share of requests; 0 without a limit
        :param is_evacuated: whether its failure domain is evacuated
        """
        heartbeat = self.heartbeat
        phase = fleet_pb2.SERVER_PHASE_READY
        if self.is_retired:
            phase = fleet_pb2.SERVER_PHASE_RETIRED
        elif is_evacuated:
            phase = fleet_pb2.SERVER_PHASE_EVACUATED
        return fleet_pb2.FleetServer(
            identity=heartbeat.identity,
            life=heartbeat.incarnation,
            pool=heartbeat.pool,
            ip=heartbeat.ip,
            port=heartbeat.port,
            domain=heartbeat.domain,
            slots=heartbeat.slots,
            weight=round(weight * 1000),
            phase=phase,
            cold_ms=self.cold.sent_ms,
            admitted=round(admitted * 1_000_000),
        )
