"""Model of entries, servers with queues and the plan for domains, without a network."""

from __future__ import annotations

import math
import random

from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

from medlarpass import ManualClock
from medlarpass.capacity import ServerCapacity
from medlarpass.dispatch import Balancer
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import Candidate
from medlarpass.dispatch import DemandCounter
from medlarpass.dispatch import DomainCapacity
from medlarpass.dispatch import DomainChoice
from medlarpass.dispatch import DomainShares
from medlarpass.dispatch import PoolDemands
from medlarpass.dispatch import ServerSubset
from medlarpass.dispatch import ServerWeights
from medlarpass.dispatch import SubsetBalancer
from medlarpass.dispatch import plan_shares
from medlarpass.dispatch import rounded_shares
from medlarpass.dispatch import subset_size

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass.dispatch import Attempt

SLOTS = 3
QUEUE_LENGTH = 12
MEAN_WORK_SECONDS = 0.25
WORK_SPREAD = 0.8
DOMAINS = "abc"
#: Callers of one domain get more than their share, so that requests have to leave it.
DOMAIN_LOADS = {"a": 1.3, "b": 0.9, "c": 0.8}
WARM_UP_SECONDS = 6.0
PERIOD_SECONDS = 0.5


class ModelRequest:
    """A request at a server."""

    def __init__(self, entry: int, attempt: Attempt, arrived_at: float, work: float) -> None:
        self.entry = entry
        self.attempt = attempt
        self.arrived_at = arrived_at
        self.work = work


class ModelServer:
    """A server with slots and a queue."""

    def __init__(self, identity: str, domain: str, speed: float) -> None:
        self.identity = identity
        self.domain = domain
        self.speed = speed
        self.running = 0
        self.queue: list[ModelRequest] = []


class SubsetModel:
    """Runs one policy at one utilisation.

    :param utilisation: load in relation to the capacity of all servers
    :param uses_domains: whether entries use shares and subsets; otherwise they choose at random by
        weight among all servers
    :param estimates_capacity: whether the plan uses the capacity estimated from response times of
        servers that do not report their load, instead of the true one
    """

    def __init__(
        self,
        utilisation: float,
        uses_domains: bool,
        seed: int,
        entries: int = 60,
        servers: int = 30,
        estimates_capacity: bool = False,
    ) -> None:
        self.uses_domains = uses_domains
        self.estimates_capacity = estimates_capacity
        self.estimate = ServerCapacity()
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.servers = {
            f"s{number}": ModelServer(f"s{number}", DOMAINS[number % 3], self.rng.uniform(0.5, 1.6))
            for number in range(servers)
        }
        self.capacity = dict.fromkeys(DOMAINS, 0.0)
        for server in self.servers.values():
            self.capacity[server.domain] += server.speed * SLOTS / MEAN_WORK_SECONDS
        self.rate = utilisation * sum(self.capacity.values())
        self.domains = [DOMAINS[number % 3] for number in range(entries)]
        self.entry_loads = [
            self.rng.uniform(0.5, 1.5) * DOMAIN_LOADS[domain] for domain in self.domains
        ]
        balancer = SubsetBalancer if uses_domains else Balancer
        settings = BalancerSettings(choices=3 if uses_domains else 1)
        self.balancers = [
            balancer(settings, self.clock, random.Random(seed * 1000 + number))
            for number in range(entries)
        ]
        self.subsets = [ServerSubset(f"e{number}") for number in range(entries)]
        self.choices = [DomainChoice(domain, {}, self.rng.random()) for domain in self.domains]
        self.candidates: dict[tuple[int, str], list[Candidate]] = {}
        self.weights = ServerWeights()
        self.counter, self.demands = DemandCounter(), PoolDemands()
        self.exact: DomainShares = {}
        self.sent: DomainShares = {}
        self.waits: list[float] = []
        self.rejected = 0
        self.cross_domain = 0

    def run(self, seconds: float) -> None:
        """Run the model."""
        self._after(0.0, self._arrive)
        self._after(PERIOD_SECONDS, self._end_period)
        while self.events[0][0] <= seconds:
            at, _, act = heappop(self.events)
            self.clock.advance(at - self.clock.now())
            act()

    @property
    def rejected_share(self) -> float:
        return self.rejected / (self.rejected + len(self.waits))

    @property
    def is_measured(self) -> bool:
        return self.clock.now() >= WARM_UP_SECONDS

    def _after(self, delay: float, act: Callable[[], None]) -> None:
        heappush(self.events, (self.clock.now() + delay, self.rng.getrandbits(40), act))

    def _arrive(self) -> None:
        self._after(self.rng.expovariate(self.rate), self._arrive)
        (entry,) = self.rng.choices(range(len(self.domains)), self.entry_loads)
        self.counter.count("pool", self.domains[entry], 0)
        candidate = self.balancers[entry].choose(self._candidates(entry))
        server = self.servers[candidate.identity]
        if self.is_measured:
            self.cross_domain += server.domain != self.domains[entry]
        request = ModelRequest(
            entry,
            self.balancers[entry].started(server.identity),
            self.clock.now(),
            self.rng.lognormvariate(math.log(MEAN_WORK_SECONDS) - WORK_SPREAD**2 / 2, WORK_SPREAD),
        )
        if server.running < SLOTS:
            self._start(server, request)
        elif len(server.queue) < QUEUE_LENGTH:
            server.queue.append(request)
        else:
            self.balancers[entry].refused(request.attempt)
            self.rejected += self.is_measured

    def _start(self, server: ModelServer, request: ModelRequest) -> None:
        server.running += 1
        if self.is_measured:
            self.waits.append(self.clock.now() - request.arrived_at)
        self._after(request.work / server.speed, lambda: self._finish(server, request))

    def _finish(self, server: ModelServer, request: ModelRequest) -> None:
        server.running -= 1
        self.balancers[request.entry].finished(request.attempt)
        self.weights.add(server.identity, 1, self.clock.now() - request.arrived_at)
        self.estimate.add(server.identity, 1, self.clock.now() - request.arrived_at)
        if server.queue:
            self._start(server, server.queue.pop(0))

    def _end_period(self) -> None:
        self._after(PERIOD_SECONDS, self._end_period)
        self.weights.apply_decay()
        if self.weights.update(list(self.servers)):
            self.candidates.clear()
        for demand in self.counter.pop_counts():
            self.demands.add(demand)
        self.demands.apply_decay()
        self.estimate.apply_decay()
        if self.uses_domains and self.clock.now() >= 2.0:
            self.exact = plan_shares(
                self.demands.rates_by_domain("pool"), self._planned_capacity(), self.exact
            )
            self.sent = {
                domain: rounded_shares(self.exact.get(domain, {}), self.sent.get(domain, {}))
                for domain in DOMAINS
            }

    def _planned_capacity(self) -> dict[str, float]:
        if not self.estimates_capacity:
            return self.capacity
        estimated = DomainCapacity()
        for server in self.servers.values():
            estimated.add(server.domain, SLOTS, self.estimate.rate_of(server.identity, SLOTS))
        return estimated.by_domain()

    def _candidates(self, entry: int) -> list[Candidate]:
        domain = ""
        if self.uses_domains:
            self.choices[entry].set_shares(self.sent.get(self.domains[entry], {}))
            domain = self.choices[entry].next()
        key = (entry if domain else 0, domain)
        known = self.candidates.get(key)
        if known is None:
            weights = {
                identity: self.weights.sent_weights.get(identity, 1.0)
                for identity, server in self.servers.items()
                if not domain or server.domain == domain
            }
            if domain:
                size = subset_size(len(weights), len(self.domains) / len(DOMAINS))
                weights = self.subsets[entry].choose(weights, size)
            known = self.candidates[key] = [
                Candidate(identity, SLOTS, weight) for identity, weight in weights.items()
            ]
        return known
