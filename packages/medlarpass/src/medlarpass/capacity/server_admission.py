"""Shares of requests that entries may send to cold and overloaded servers."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.capacity.pool_traffic import PoolTraffic
    from medlarpass.capacity.pool_traffic import ServerTraffic

#: Ratio of its capacity up to which an overloaded server is used.
OVERLOADED_LIMIT_RATIO = 0.95
#: Ratio of the capacity above which the limit begins, and below which it ends.
OVERLOAD_RATIO = 1.1
OVERLOAD_END_RATIO = 0.9
#: Standard deviations by which the requests have to exceed the capacity before a limit begins, over
#: 2 s and over the time of the steady load. The queue of a server takes a shorter excess.
MIN_DEVIATION_COUNT = 2.0
EXCESS_SECONDS = 2.0
STEADY_SECONDS = 10.0
#: Ratio by which the capacity of a limited server changes at each decision at most. Such a server
#: completes no more than its limit, so that its estimate would follow the limit down; the limit
#: grows while requests hardly queue.
CAPACITY_STEP_RATIO = 1.01
#: Ratio of the rate of a cold server that is aimed at: the rest is for random variation, retries
#: and a demand that grows until the next decision arrives.
COLD_LIMIT_RATIO = 0.75
#: Ratio of the highest recent demand that remains at each decision. Demand that comes back within
#: seconds would exceed shares that had followed the dip.
PEAK_DECAY_RATIO = 0.97
#: Share of a cold server with owned keys while its load is not known.
UNKNOWN_LOAD_SHARE = 0.25
#: Requests per second and slot that are assumed while the demand of a pool is not known.
ASSUMED_SLOT_RATE = 4.0
#: A share is sent again when it falls below, or rises above, these ratios of the sent one.
RESEND_LOWER_RATIO = 0.93
RESEND_HIGHER_RATIO = 1.15
#: Shares are rounded down to powers of this, so that most small changes give the same message.
ROUNDING_RATIO = 1.05
MIN_SHARE = 1e-6


class ServerAdmission:
    """Decides the shares and remembers those that were sent.

    Entries thin requests at random by these shares, so that all of them together follow the
    demand, however many they are.
    """

    __slots__ = ("held_capacity", "peaks", "sent")

    def __init__(self) -> None:
        #: Shares last sent to entries; servers that are not in it have no limit.
        self.sent: dict[str, float] = {}
        #: Capacity of the servers that are limited because of overload.
        self.held_capacity: dict[str, float] = {}
        #: Highest recent requests per second by pool.
        self.peaks: dict[str, float] = {}

    def update(self, traffic: PoolTraffic, limits_overload: bool) -> bool:
        """Decide the shares of the servers of a pool.

        :param traffic: load of the pool
        :param limits_overload: whether overloaded warm servers are limited too
        :returns: whether entries have to be told
        """
        has_change = False
        if not traffic.owned:
            self._update_peak(traffic)
        for server in traffic.servers:
            if traffic.owned:
                share = self._owned_share(traffic, server, limits_overload)
            else:
                share = self._pool_share(traffic, server)
            has_change |= self._send(server.identity, share)
        return has_change

    def retain(self, identities: set[str]) -> None:
        """Remove the state of servers that are not in ``identities``."""
        for by_identity in (self.sent, self.held_capacity):
            for identity in by_identity.keys() - identities:
                del by_identity[identity]

    def _owned_share(
        self, traffic: PoolTraffic, server: ServerTraffic, limits_overload: bool
    ) -> float | None:
        """Return the share of the requests for the keys of a server; None for no limit."""
        is_limited_cold = server.is_cold and traffic.warmup_rate is not None
        if not traffic.is_known:
            if is_limited_cold:
                return self.sent.get(server.identity, UNKNOWN_LOAD_SHARE)
            return None
        offered = server.offered
        limits: list[float] = []
        if is_limited_cold:
            assert traffic.warmup_rate is not None
            # Keys that have just moved to the server are in the steady load at once.
            offered = max(offered, server.steady)
            limits.append(COLD_LIMIT_RATIO * traffic.warmup_rate)
        if limits_overload and (capacity := self._limited_capacity(server, offered)) is not None:
            limits.append(OVERLOADED_LIMIT_RATIO * capacity)
        if not limits or min(limits) >= offered:
            return None
        return min(limits) / offered

    def _limited_capacity(self, server: ServerTraffic, offered: float) -> float | None:
        """Return the capacity of a server that is overloaded, else None."""
        capacity = server.capacity
        if capacity is None:
            self.held_capacity.pop(server.identity, None)
            return None
        held = self.held_capacity.get(server.identity)
        if held is not None:
            capacity = max(capacity, held / CAPACITY_STEP_RATIO)
            if not server.is_queueing:
                capacity = max(capacity, held * CAPACITY_STEP_RATIO)
            is_overloaded = offered >= OVERLOAD_END_RATIO * capacity
        else:
            is_overloaded = _is_overloaded(server, offered, capacity)
        if not is_overloaded:
            self.held_capacity.pop(server.identity, None)
            return None
        self.held_capacity[server.identity] = capacity
        return capacity

    def _pool_share(self, traffic: PoolTraffic, server: ServerTraffic) -> float | None:
        """Return the share of all requests of a pool for a cold server; None for a warm one."""
        if not server.is_cold or traffic.warmup_rate is None:
            return None
        if traffic.is_known:
            demand = self.peaks[traffic.pool]
        elif server.identity in self.sent:
            return self.sent[server.identity]
        else:
            demand = ASSUMED_SLOT_RATE * sum(other.slots for other in traffic.servers)
        has_warm = any(not other.is_cold for other in traffic.servers)
        # A cold server is slower than a warm one, so that it never gets more than its part.
        most = 1 / len(traffic.servers) if has_warm else 1.0
        limit = COLD_LIMIT_RATIO * traffic.warmup_rate
        return min(limit / max(demand, limit), most)

    def _update_peak(self, traffic: PoolTraffic) -> None:
        peak = self.peaks.get(traffic.pool, 0.0) * PEAK_DECAY_RATIO
        self.peaks[traffic.pool] = max(traffic.demand, peak)

    def _send(self, identity: str, share: float | None) -> bool:
        sent = self.sent.get(identity)
        if share is None:
            return self.sent.pop(identity, None) is not None
        if sent is not None and sent * RESEND_LOWER_RATIO <= share <= sent * RESEND_HIGHER_RATIO:
            return False
        rounded = _rounded(share)
        self.sent[identity] = rounded
        return rounded != sent


def _is_overloaded(server: ServerTraffic, offered: float, capacity: float) -> bool:
    return any(
        load > OVERLOAD_RATIO * capacity
        and (load - capacity) * seconds > MIN_DEVIATION_COUNT * math.sqrt(capacity * seconds)
        for load, seconds in (
            (offered, EXCESS_SECONDS),
            (min(offered, server.steady), STEADY_SECONDS),
        )
    )


def _rounded(share: float) -> float:
    if share >= 1.0:
        return 1.0
    exponent = math.floor(math.log(max(share, MIN_SHARE), ROUNDING_RATIO) + 1e-9)
    return max(ROUNDING_RATIO**exponent, MIN_SHARE)
