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
# Interval of the load reports that entries send to their peers, and of those of a server.
PEER_REPORT_INTERVAL_SECONDS = 0.2
LOAD_REPORT_INTERVAL_SECONDS = 1.0
# Share of the slots that is in use on average.
LOAD_RATIO = 0.7
# Run time on the slow server relative to that on the others.
SLOWDOWN_RATIO = 4.0
# Start and end of the freeze of a server, relative to the length of the trace.
FREEZE_PERIOD_RATIOS = (0.4, 0.6)
SAME_DOMAIN_DELAY_SECONDS = 0.0001


class Workload:
    """Load of one request class.

    :param mean_run_time: mean time in a slot, in seconds
    :param run_time_sigma: standard deviation of the logarithm of the lognormal run times
    :param timeout: seconds until the deadline
    :param durations: length of the trace in seconds, for quick and full runs
    """

    __slots__ = ("durations", "kind", "mean_run_time", "name", "run_time_sigma", "timeout")

    def __init__(
        self,
        name: str,
        kind: RequestKind,
        mean_run_time: float,
        run_time_sigma: float,
        timeout: float,
        durations: tuple[float, float],
    ) -> None:
        self.name = name
        self.kind = kind
        self.mean_run_time = mean_run_time
        self.run_time_sigma = run_time_sigma
        self.timeout = timeout
        self.durations = durations


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
    duration = options.choose(*workload.durations)
    is_order = isinstance(workload.kind, Order)
    server_count = deployment.order_servers if is_order else deployment.download_servers
    servers = [
        ServerModel(loop, f"s{n}", deployment.slots, queue_limit=deployment.slots)
        for n in range(server_count)
    ]
    entries = [
        EntryModel(
            loop,
            policy(BalancerSettings(), loop, options.rng("choice", n)),
            workload.kind,
            servers,
            [_network_delay(deployment, n, m) for m in range(server_count)],
        )
        for n in range(deployment.entries)
    ]
    _schedule_faults(loop, servers[0], fault, duration)
    _schedule_reports(loop, deployment, entries, servers)
    capacity = sum(server.slots for server in servers) - _lost_slots(servers, fault)
    _schedule_load(options, loop, deployment, workload, entries, capacity, duration)
    loop.run(duration + workload.timeout)
    return _figures(entries, servers, fault)


def _network_delay(deployment: Deployment, entry: int, server: int) -> float:
    if entry % deployment.domains == server % deployment.domains:
        return SAME_DOMAIN_DELAY_SECONDS
    return deployment.domain_delay


def _lost_slots(servers: list[ServerModel], fault: str) -> float:
    """Return the slots that a slow server lacks; the load is reduced so that it can be served."""
    return servers[0].slots * (1.0 - 1.0 / SLOWDOWN_RATIO) if fault == "one slow" else 0.0


def _schedule_faults(loop: EventLoop, server: ServerModel, fault: str, duration: float) -> None:
    if fault == "one slow":
        server.slowdown_factor = SLOWDOWN_RATIO
    elif fault == "one lying":
        server.reported_load_override = 0
    elif fault == "one freezing":
        start, end = (ratio * duration for ratio in FREEZE_PERIOD_RATIOS)

        def freeze() -> None:
            server.frozen_until = end

        loop.after(start, freeze)


def _schedule_reports(
    loop: EventLoop,
    deployment: Deployment,
    entries: list[EntryModel],
    servers: list[ServerModel],
) -> None:
    def publish_loads() -> None:
        for server in servers:
            if loop.now() >= server.frozen_until:
                server.publish_load()
        loop.after(LOAD_REPORT_INTERVAL_SECONDS, publish_loads)

    def report_to_peers(number: int) -> None:
        own_report = entries[number].balancer.own_report()
        for other in range(number % deployment.domains, len(entries), deployment.domains):
            if other != number:
                entries[other].balancer.record_peer_report(f"e{number}", own_report, loop.now())
        loop.after(PEER_REPORT_INTERVAL_SECONDS, lambda: report_to_peers(number))

    loop.after(LOAD_REPORT_INTERVAL_SECONDS, publish_loads)
    for number in range(len(entries)):
        offset = PEER_REPORT_INTERVAL_SECONDS * (number + 1) / len(entries)
        loop.after(offset, lambda number=number: report_to_peers(number))  # type: ignore[misc]


def _schedule_load(
    options: Options,
    loop: EventLoop,
    deployment: Deployment,
    workload: Workload,
    entries: list[EntryModel],
    capacity: float,
    duration: float,
) -> None:
    """Schedule Poisson arrivals, spread over the entries as by the platform's balancer."""
    rng = options.rng("load", deployment.name, workload.name)
    rate = LOAD_RATIO * capacity / workload.mean_run_time

    def arrive() -> None:
        if loop.now() >= duration:
            return
        entry = entries[rng.randrange(len(entries))]
        entry.start_request(
            lognormal(rng, workload.mean_run_time, workload.run_time_sigma), workload.timeout
        )
        loop.after(rng.expovariate(rate), arrive)

    loop.after(0.0, arrive)


def _figures(entries: list[EntryModel], servers: list[ServerModel], fault: str) -> dict[str, float]:
    attempt_count = sum(entry.attempt_count for entry in entries)
    request_count = sum(entry.request_count for entry in entries)
    latencies = [latency for entry in entries for latency in entry.latencies]
    healthy = servers if fault in ("none", "one lying") else servers[1:]
    busy_time_per_slot = [server.busy_seconds / server.slots for server in healthy]
    return {
        "shed_pct": 100.0 * sum(server.refused_count for server in servers) / attempt_count,
        "failed_pct": 100.0 * sum(entry.failed_count for entry in entries) / request_count,
        "wait_ms": 1000.0 * mean([wait for server in servers for wait in server.waits]),
        "p99_ms": 1000.0 * percentile(latencies, 0.99),
        "imbalance": max(busy_time_per_slot) / mean(busy_time_per_slot),
    }
