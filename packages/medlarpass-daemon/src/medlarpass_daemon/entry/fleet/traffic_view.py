"""Decisions of the control leader on the traffic, as known to an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from medlarpass import Clock

#: Time without an update after which the decisions are ignored. Updates come twice a second, and a
#: limit of an earlier load must not stay in force when control is not reachable.
MAX_AGE_SECONDS = 3.0


class TrafficView:
    """The newest traffic plan; without a recent one nothing is limited.

    :param clock: source of time
    """

    __slots__ = ("admissions", "clock", "shares", "updated_at")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.updated_at = 0.0
        #: Shares by pool and domain of the entries, then by domain of the servers, from 0 to 1.
        self.shares: dict[tuple[str, str], dict[str, float]] = {}
        self.admissions: dict[tuple[str, int], fleet_pb2.PoolAdmission] = {}

    @property
    def is_recent(self) -> bool:
        """Whether control has sent an update recently."""
        return self.clock.now() - self.updated_at < MAX_AGE_SECONDS

    def apply(self, update: fleet_pb2.FleetUpdate) -> None:
        """Apply an update of the leader."""
        if update.from_follower:
            return
        self.updated_at = self.clock.now()
        if update.begins_whole and not update.HasField("traffic"):
            # The new replica has no plan.
            self._replace(fleet_pb2.TrafficPlan())
        if update.HasField("traffic"):
            self._replace(update.traffic)

    def shares_of(self, pool: str, domain: str) -> dict[str, float] | None:
        """Return which share of the requests goes to each other domain; None without a plan.

        :param pool: name of the pool
        :param domain: failure domain of the entry
        """
        return self.shares.get((pool, domain), {}) if self.is_recent else None

    def admission_of(self, pool: str, priority: int) -> fleet_pb2.PoolAdmission | None:
        """Return the limit of a pool for a priority; None if there is none."""
        return self.admissions.get((pool, priority)) if self.is_recent else None

    def _replace(self, plan: fleet_pb2.TrafficPlan) -> None:
        self.shares = {}
        for item in plan.shares:
            shares = self.shares.setdefault((item.pool, item.entry_domain), {})
            shares[item.server_domain] = item.share / 1000
        self.admissions = {(item.pool, item.priority): item for item in plan.admissions}
