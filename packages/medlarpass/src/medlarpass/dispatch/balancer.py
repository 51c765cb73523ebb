"""Load balancing of orders and downloads."""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

from medlarpass.dispatch.attempt import Attempt
from medlarpass.dispatch.exceptions import NoServerError
from medlarpass.dispatch.peer_loads import PeerLoads
from medlarpass.dispatch.server_load import ServerLoad

if TYPE_CHECKING:
    import random

    from collections.abc import Mapping
    from collections.abc import Sequence
    from collections.abc import Set

    from medlarpass.clock import Clock
    from medlarpass.dispatch.candidate import Candidate
    from medlarpass.dispatch.settings import BalancerSettings

# A server that seems full keeps a small selection weight, because the estimate may be wrong.
MIN_FREE_SLOTS = 0.1


class Balancer:
    """Samples a few servers, weighted by their free slots, and chooses the least loaded.

    The method is the power of d choices (Mitzenmacher 2001) with weighted sampling. Among servers
    of about equal load the least recently used one is chosen, which spreads the requests of an
    entry evenly over time. The load is estimated from the requests in flight of this entry and
    its peers. The server's own load report can raise the estimate by a bounded amount and never
    lowers it, because such reports may be late or wrong.

    :param settings: settings of the policy
    :param clock: source of time
    :param rng: random number generator
    """

    __slots__ = ("clock", "loads", "peers", "rng", "settings")

    def __init__(self, settings: BalancerSettings, clock: Clock, rng: random.Random) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.peers = PeerLoads(settings.max_peer_report_age)
        self.loads: dict[str, ServerLoad] = {}

    def choose(self, candidates: Sequence[Candidate], exclude: Set[str] = frozenset()) -> Candidate:
        """Return the server for the next attempt.

        :param candidates: servers of the pool
        :param exclude: identities of servers that must not be chosen, such as those already tried
        :raises NoServerError: if no candidate is left
        """
        eligible = [
            candidate
            for candidate in candidates
            if candidate.identity not in exclude and candidate.weight > 0
        ]
        if not eligible:
            raise NoServerError("no server of the pool is available")
        now = self.clock.now()
        available = [
            candidate for candidate in eligible if self._load(candidate).backoff_until <= now
        ]
        if not available:
            return min(eligible, key=lambda candidate: self._load(candidate).backoff_until)
        median_latency = self._median_latency(candidates)
        costs = {
            candidate.identity: self._cost(candidate, median_latency, now)
            for candidate in available
        }
        sampled = self._sample(available, median_latency, now)
        lowest_cost = min(costs[candidate.identity] for candidate in sampled)
        least_loaded = [
            candidate
            for candidate in sampled
            if costs[candidate.identity]
            <= lowest_cost + self.settings.load_tolerance / candidate.slots
        ]
        # Random tie-break, so that entries that start together do not all choose the first server.
        return min(
            least_loaded,
            key=lambda candidate: (self._load(candidate).last_sent_at, self.rng.random()),
        )

    def estimate_in_flight(
        self, candidate: Candidate, median_latency: float | None, now: float
    ) -> float:
        """Return the estimated number of requests in flight at a server.

        :param median_latency: median latency of the pool, in seconds, None while unknown
        """
        decay_time = (
            median_latency * self.settings.peer_report_decay_ratio if median_latency else None
        )
        peer_in_flight = self.peers.in_flight(candidate.identity, now, decay_time)
        observed = self._load(candidate).in_flight + peer_in_flight
        reported = candidate.reported_in_flight or 0
        return observed + min(max(reported - observed, 0.0), self.settings.hint_limit)

    def started(self, server: str) -> Attempt:
        """Record the start of an attempt."""
        attempt = Attempt(server, self.clock.now())
        load = self.loads.setdefault(server, ServerLoad())
        load.attempts[attempt] = None
        load.last_sent_at = attempt.started_at
        return attempt

    def finished(self, attempt: Attempt) -> None:
        """Record an attempt that got a response, and its latency."""
        load = self._end(attempt)
        if load is None:
            return
        self._observe(load, attempt)
        load.refusals = 0

    def refused(self, attempt: Attempt) -> None:
        """Record a refused attempt and back off from the server, twice as long each time."""
        load = self._end(attempt)
        if load is None:
            return
        max_backoff = self.settings.max_backoff
        backoff = min(self.settings.base_backoff * 2.0 ** min(load.refusals, 30), max_backoff)
        # Jitter keeps entries that were refused together from returning together.
        load.backoff_until = self.clock.now() + backoff * self.rng.uniform(0.5, 1.0)
        load.refusals += 1

    def abandoned(self, attempt: Attempt) -> None:
        """Record an attempt that ended without a response; the time waited counts as latency."""
        load = self._end(attempt)
        if load is None:
            return
        self._observe(load, attempt)

    def record_peer_report(self, peer: str, in_flight: Mapping[str, int], sent_at: float) -> None:
        """Store the in-flight requests per server of another entry of the domain."""
        self.peers.update(peer, in_flight, sent_at)

    def own_report(self) -> dict[str, int]:
        """Return the in-flight requests per server of this entry, to report them to its peers."""
        return {server: load.in_flight for server, load in self.loads.items() if load.in_flight}

    def forget(self, server: str) -> None:
        """Remove the state of a server that left, unless it has attempts in flight."""
        if server in self.loads and not self.loads[server].attempts:
            del self.loads[server]

    def _load(self, candidate: Candidate) -> ServerLoad:
        load = self.loads.get(candidate.identity)
        if load is None:
            load = self.loads[candidate.identity] = ServerLoad()
        return load

    def _end(self, attempt: Attempt) -> ServerLoad | None:
        """Remove an attempt and return the load of its server, None if it has already ended."""
        load = self.loads.get(attempt.server)
        if load is None or attempt not in load.attempts:
            return None
        del load.attempts[attempt]
        return load

    def _observe(self, load: ServerLoad, attempt: Attempt) -> None:
        load.observe(attempt.started_at, self.clock.now(), self.settings.latency_weight)

    def _median_latency(self, candidates: Sequence[Candidate]) -> float | None:
        latencies = [
            load.latency for load in map(self._load, candidates) if load.latency is not None
        ]
        return median_low(latencies) if latencies else None

    def _cost(self, candidate: Candidate, median_latency: float | None, now: float) -> float:
        cost = (self.estimate_in_flight(candidate, median_latency, now) + 1.0) / (
            candidate.slots * candidate.weight
        )
        if median_latency:
            latency = self._load(candidate).expected_latency(
                median_latency, self.settings.latency_decay_time, now
            )
            cost *= max(1.0, latency / (self.settings.slow_ratio * median_latency))
        return cost

    def _sample(
        self, available: list[Candidate], median_latency: float | None, now: float
    ) -> list[Candidate]:
        """Sample distinct candidates with probability proportional to their weighted free slots."""
        if len(available) <= self.settings.choices:
            return available
        pool = list(available)
        weights = [
            max(
                candidate.slots - self.estimate_in_flight(candidate, median_latency, now),
                MIN_FREE_SLOTS,
            )
            * candidate.weight
            for candidate in pool
        ]
        sampled: list[Candidate] = []
        while pool and len(sampled) < self.settings.choices:
            (index,) = self.rng.choices(range(len(pool)), weights=weights)
            sampled.append(pool.pop(index))
            weights.pop(index)
        return sampled
