"""Choice of a server for orders and downloads."""

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

# A server that looks full keeps a small chance, because the estimate may be wrong.
LEAST_FREE = 0.1


class Balancer:
    """Compares a few servers, drawn by their free slots, and takes the least loaded.

    The method is the power of d choices (Mitzenmacher 2001) with draws weighted by free slots.
    Among servers of about equal load the one unused longest is taken, which spaces the requests
    of an entry evenly. The load is estimated from own and peers' requests in flight. The server's
    own report can raise the estimate by a bounded amount and never lowers it, because such
    reports lag or mislead.

    :param settings: settings of the policy
    :param clock: source of time
    :param rng: source of random draws
    """

    __slots__ = ("clock", "loads", "peers", "rng", "settings")

    def __init__(self, settings: BalancerSettings, clock: Clock, rng: random.Random) -> None:
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.peers = PeerLoads(settings.peer_age_limit)
        self.loads: dict[str, ServerLoad] = {}

    def choose(self, candidates: Sequence[Candidate], exclude: Set[str] = frozenset()) -> Candidate:
        """Return the server for the next attempt.

        :param candidates: servers of the pool
        :param exclude: identities that must not be chosen, such as those already tried
        :raises NoServerError: if no candidate is left
        """
        usable = [each for each in candidates if each.identity not in exclude and each.weight > 0]
        if not usable:
            raise NoServerError("no server of the pool can be chosen")
        now = self.clock.now()
        welcome = [each for each in usable if self._load(each).avoided_until <= now]
        if not welcome:
            return min(usable, key=lambda each: self._load(each).avoided_until)
        usual = self._usual_latency(candidates)
        costs = {each.identity: self._cost(each, usual, now) for each in welcome}
        drawn = self._draw(welcome, usual, now)
        least = min(costs[each.identity] for each in drawn)
        equal = [
            each
            for each in drawn
            if costs[each.identity] <= least + self.settings.tolerance / each.slots
        ]
        # Entries that start together must not all begin with the first server.
        return min(equal, key=lambda each: (self._load(each).sent_at, self.rng.random()))

    def estimate(self, candidate: Candidate, usual: float | None, now: float) -> float:
        """Return the estimated number of requests in flight at a server.

        :param usual: usual latency of the pool, in seconds
        """
        memory = usual * self.settings.peer_memory if usual else None
        peers = self.peers.in_flight(candidate.identity, now, memory)
        seen = self._load(candidate).in_flight + peers
        told = candidate.told_in_flight or 0
        return seen + min(max(told - seen, 0.0), self.settings.hint_limit)

    def started(self, server: str) -> Attempt:
        """Count an attempt as in flight."""
        attempt = Attempt(server, self.clock.now())
        load = self.loads.setdefault(server, ServerLoad())
        load.attempts[attempt] = None
        load.sent_at = attempt.started_at
        return attempt

    def finished(self, attempt: Attempt) -> None:
        """Count an answered attempt and take its latency."""
        load = self._end(attempt)
        if load is None:
            return
        self._observe(load, attempt)
        load.refusals = 0

    def refused(self, attempt: Attempt) -> None:
        """Count a refused attempt and avoid the server; the time doubles with each refusal."""
        load = self._end(attempt)
        if load is None:
            return
        longest = self.settings.avoid_longest
        span = min(self.settings.avoid_shortest * 2.0 ** min(load.refusals, 30), longest)
        # Entries that were refused together must not return together.
        load.avoided_until = self.clock.now() + span * self.rng.uniform(0.5, 1.0)
        load.refusals += 1

    def abandoned(self, attempt: Attempt) -> None:
        """Count an attempt that ended without answer; the time waited counts as latency."""
        load = self._end(attempt)
        if load is None:
            return
        self._observe(load, attempt)

    def peer_report(self, peer: str, in_flight: Mapping[str, int], sent_at: float) -> None:
        """Take the in-flight requests per server of another entry of the domain."""
        self.peers.update(peer, in_flight, sent_at)

    def own_report(self) -> dict[str, int]:
        """Return own in-flight requests per server, for the peers."""
        return {server: load.in_flight for server, load in self.loads.items() if load.in_flight}

    def forget(self, server: str) -> None:
        """Drop a server that left and has no attempt in flight."""
        if server in self.loads and not self.loads[server].attempts:
            del self.loads[server]

    def _load(self, candidate: Candidate) -> ServerLoad:
        load = self.loads.get(candidate.identity)
        if load is None:
            load = self.loads[candidate.identity] = ServerLoad()
        return load

    def _end(self, attempt: Attempt) -> ServerLoad | None:
        """Remove an attempt; return None if it has ended before."""
        load = self.loads.get(attempt.server)
        if load is None or attempt not in load.attempts:
            return None
        del load.attempts[attempt]
        return load

    def _observe(self, load: ServerLoad, attempt: Attempt) -> None:
        load.observe(attempt.started_at, self.clock.now(), self.settings.latency_weight)

    def _usual_latency(self, candidates: Sequence[Candidate]) -> float | None:
        known = [load.latency for load in map(self._load, candidates) if load.latency is not None]
        return median_low(known) if known else None

    def _cost(self, candidate: Candidate, usual: float | None, now: float) -> float:
        cost = (self.estimate(candidate, usual, now) + 1.0) / (candidate.slots * candidate.weight)
        if usual:
            latency = self._load(candidate).expected_latency(
                usual, self.settings.latency_memory, now
            )
            cost *= max(1.0, latency / (self.settings.slow_ratio * usual))
        return cost

    def _draw(self, welcome: list[Candidate], usual: float | None, now: float) -> list[Candidate]:
        """Draw distinct candidates with probability in proportion to weighted free slots."""
        if len(welcome) <= self.settings.choices:
            return welcome
        pool = list(welcome)
        free = [
            max(each.slots - self.estimate(each, usual, now), LEAST_FREE) * each.weight
            for each in pool
        ]
        drawn: list[Candidate] = []
        while pool and len(drawn) < self.settings.choices:
            (index,) = self.rng.choices(range(len(pool)), weights=free)
            drawn.append(pool.pop(index))
            free.pop(index)
        return drawn
