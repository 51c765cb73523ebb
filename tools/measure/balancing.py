"""Choice of a server for orders and downloads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import Balancer
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import Download
from medlarpass.dispatch import LeastInFlightBalancer
from medlarpass.dispatch import LeastReportedBalancer
from medlarpass.dispatch import Order
from medlarpass.dispatch import RandomBalancer
from medlarpass.dispatch import RequestKind
from medlarpass.dispatch import RoundRobinBalancer
from medlarpass.dispatch import TwoChoicesBalancer
from tools.measure.deployment import DEPLOYMENTS
from tools.measure.deployment import Deployment
from tools.measure.entry_model import EntryModel
from tools.measure.event_loop import EventLoop
from tools.measure.figures import lognormal
from tools.measure.figures import mean
from tools.measure.figures import percentile
from tools.measure.registry import section
from tools.measure.row import Row
from tools.measure.server_model import ServerModel

if TYPE_CHECKING:
    from tools.measure.options import Options

POLICIES: dict[str, type[Balancer]] = {
    "medlarpass": Balancer,
    "random": RandomBalancer,
    "round robin": RoundRobinBalancer,
    "least in flight": LeastInFlightBalancer,
    "least told": LeastReportedBalancer,
    "two choices": TwoChoicesBalancer,
}
FAULTS = ("none", "one slow", "one lying", "one freezing")
# Seconds between two exchanges of loads among peers and two load reports of a server.
PEER_INTERVAL = 0.2
TOLD_INTERVAL = 1.0
# Part of the slots that is in use on average.
LOAD = 0.7
SLOWNESS = 4.0
# Part of the trace during which the freezing server stands still.
FREEZE = (0.4, 0.6)
SAME_DOMAIN_DELAY = 0.0001


class Workload:
    """Load of one request class.

    :param run_time: mean seconds in a slot
    :param sigma: spread of the lognormal run times
    :param patience: seconds until the deadline
    :param length: seconds of the trace, quick and full
    """

    __slots__ = ("kind", "length", "name", "patience", "run_time", "sigma")

    def __init__(
        self,
        name: str,
        kind: RequestKind,
        run_time: float,
        sigma: float,
        patience: float,
        length: tuple[float, float],
    ) -> None:
        self.name = name
        self.kind = kind
        self.run_time = run_time
        self.sigma = sigma
        self.patience = patience
        self.length = length


WORKLOADS = (
    Workload("orders", Order(), 0.06, 0.5, 2.0, (5.0, 30.0)),
    Workload("downloads", Download(), 1.0, 0.8, 20.0, (60.0, 400.0)),
)


@section("balancing", "Choice of a server for orders and downloads")
def run(options: Options) -> list[Row]:
    """Measure each policy on the same traces."""
    return [
        Row(
            f"{deployment.name} {workload.name}, {fault}",
            name,
            measure(options, deployment, workload, fault, policy),
        )
        for deployment in DEPLOYMENTS
        for workload in WORKLOADS
        for fault in FAULTS
        for name, policy in POLICIES.items()
        if policy is not LeastReportedBalancer or fault == "one lying"
    ]


def measure(
    options: Options,
    deployment: Deployment,
    workload: Workload,
    fault: str,
    policy: type[Balancer],
) -> dict[str, float]:
    """Run one trace with one policy."""
    loop = EventLoop()
    length = options.choose(*workload.length)
    is_order = isinstance(workload.kind, Order)
    count = deployment.order_servers if is_order else deployment.download_servers
    servers = [
        ServerModel(loop, f"s{n}", deployment.slots, queue_limit=deployment.slots)
        for n in range(count)
    ]
    entries = [
        EntryModel(
            loop,
            policy(BalancerSettings(), loop, options.rng("choice", n)),
            workload.kind,
            servers,
            [_delay(deployment, n, m) for m in range(count)],
        )
        for n in range(deployment.entries)
    ]
    _schedule_faults(loop, servers[0], fault, length)
    _schedule_reports(loop, deployment, entries, servers)
    capacity = sum(server.slots for server in servers) - _lost_slots(servers, fault)
    _schedule_load(options, loop, deployment, workload, entries, capacity, length)
    loop.run(length + workload.patience)
    return _figures(entries, servers, fault)


def _delay(deployment: Deployment, entry: int, server: int) -> float:
    if entry % deployment.domains == server % deployment.domains:
        return SAME_DOMAIN_DELAY
    return deployment.domain_delay


def _lost_slots(servers: list[ServerModel], fault: str) -> float:
    """Return the slots that a slow server lacks, so that the load stays servable."""
    return servers[0].slots * (1.0 - 1.0 / SLOWNESS) if fault == "one slow" else 0.0


def _schedule_faults(loop: EventLoop, server: ServerModel, fault: str, length: float) -> None:
    if fault == "one slow":
        server.slowdown_factor = SLOWNESS
    elif fault == "one lying":
        server.reported_load_override = 0
    elif fault == "one freezing":
        begin, end = (part * length for part in FREEZE)

        def freeze() -> None:
            server.frozen_until = end

        loop.after(begin, freeze)


def _schedule_reports(
    loop: EventLoop,
    deployment: Deployment,
    entries: list[EntryModel],
    servers: list[ServerModel],
) -> None:
    def tell() -> None:
        for server in servers:
            if loop.now() >= server.frozen_until:
                server.publish_load()
        loop.after(TOLD_INTERVAL, tell)

    def exchange(number: int) -> None:
        own = entries[number].balancer.own_report()
        for other in range(number % deployment.domains, len(entries), deployment.domains):
            if other != number:
                entries[other].balancer.record_peer_report(f"e{number}", own, loop.now())
        loop.after(PEER_INTERVAL, lambda: exchange(number))

    loop.after(TOLD_INTERVAL, tell)
    for number in range(len(entries)):
        phase = PEER_INTERVAL * (number + 1) / len(entries)
        loop.after(phase, lambda number=number: exchange(number))  # type: ignore[misc]


def _schedule_load(
    options: Options,
    loop: EventLoop,
    deployment: Deployment,
    workload: Workload,
    entries: list[EntryModel],
    capacity: float,
    length: float,
) -> None:
    """Schedule Poisson arrivals; the platform's balancer spreads them over the entries."""
    rng = options.rng("load", deployment.name, workload.name)
    rate = LOAD * capacity / workload.run_time

    def arrive() -> None:
        if loop.now() >= length:
            return
        entry = entries[rng.randrange(len(entries))]
        entry.begin(lognormal(rng, workload.run_time, workload.sigma), workload.patience)
        loop.after(rng.expovariate(rate), arrive)

    loop.after(0.0, arrive)


def _figures(entries: list[EntryModel], servers: list[ServerModel], fault: str) -> dict[str, float]:
    attempts = sum(entry.attempts for entry in entries)
    requests = sum(entry.requests for entry in entries)
    latencies = [value for entry in entries for value in entry.latencies]
    healthy = servers if fault in ("none", "one lying") else servers[1:]
    busy = [server.busy_seconds / server.slots for server in healthy]
    return {
        "shed_pct": 100.0 * sum(server.refused_count for server in servers) / attempts,
        "failed_pct": 100.0 * sum(entry.failed for entry in entries) / requests,
        "wait_ms": 1000.0 * mean([wait for server in servers for wait in server.waits]),
        "p99_ms": 1000.0 * percentile(latencies, 0.99),
        "imbalance": max(busy) / mean(busy),
    }
