"""Concurrency limits per server with a pool below, near and above its capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import Balancer
from medlarpass.dispatch import BalancerSettings
from medlarpass.dispatch import LimiterSettings
from medlarpass.dispatch import Order
from tools.measure.deployment import DEPLOYMENTS
from tools.measure.deployment import Deployment
from tools.measure.entry_model import EntryModel
from tools.measure.event_loop import EventLoop
from tools.measure.figures import lognormal
from tools.measure.figures import percentile
from tools.measure.limited_entry import LimitedEntry
from tools.measure.registry import section
from tools.measure.row import Row
from tools.measure.server_model import ServerModel

if TYPE_CHECKING:
    from tools.measure.options import Options

# Offered load relative to the capacity of the pool.
LOAD_RATIOS = (0.7, 0.95, 1.3)
MEAN_RUN_TIME_SECONDS = 0.06
# Standard deviation of the logarithm of the lognormal run times.
RUN_TIME_SIGMA = 0.5
REQUEST_TIMEOUT_SECONDS = 2.0

POLICIES: dict[str, LimiterSettings | None] = {
    "medlarpass": LimiterSettings(),
    "limit of 1 or more": LimiterSettings(min_limit=1.0),
    "fixed slots": LimiterSettings(decrease=1.0),
    "no limit": None,
}


@section("limits", "Orders with adaptive limits per server, by load of the pool")
def run(options: Options) -> list[Row]:
    """Measure each policy on the same traces."""
    return [
        Row(
            f"{deployment.name}, load {load:g}",
            name,
            measure(options, deployment, load, limiter_settings),
        )
        for deployment in DEPLOYMENTS
        for load in LOAD_RATIOS
        for name, limiter_settings in POLICIES.items()
    ]


def measure(
    options: Options, deployment: Deployment, load: float, limiter_settings: LimiterSettings | None
) -> dict[str, float]:
    """Run one trace with one policy."""
    loop = EventLoop()
    duration = options.choose(3.0, 15.0)
    servers = [
        ServerModel(loop, f"s{n}", deployment.slots, queue_limit=deployment.slots)
        for n in range(deployment.order_servers)
    ]
    delays = [deployment.domain_delay] * len(servers)
    entries: list[EntryModel] = []
    for n in range(deployment.entries):
        balancer = Balancer(BalancerSettings(), loop, options.rng("choice", n))
        if limiter_settings is None:
            entries.append(EntryModel(loop, balancer, Order(), servers, delays))
        else:
            entries.append(LimitedEntry(loop, balancer, Order(), servers, delays, limiter_settings))
    rng = options.rng("limits", deployment.name, load)
    rate = load * deployment.order_servers * deployment.slots / MEAN_RUN_TIME_SECONDS

    def arrive() -> None:
        if loop.now() >= duration:
            return
        entry = entries[rng.randrange(len(entries))]
        entry.start_request(
            lognormal(rng, MEAN_RUN_TIME_SECONDS, RUN_TIME_SIGMA), REQUEST_TIMEOUT_SECONDS
        )
        loop.after(rng.expovariate(rate), arrive)

    loop.after(0.0, arrive)
    loop.run(duration + REQUEST_TIMEOUT_SECONDS)
    attempt_count = sum(entry.attempt_count for entry in entries)
    request_count = sum(entry.request_count for entry in entries)
    latencies = [latency for entry in entries for latency in entry.latencies]
    return {
        "shed_pct": 100.0 * sum(server.refused_count for server in servers) / attempt_count,
        "served_pct": 100.0 * len(latencies) / request_count,
        "p50_ms": 1000.0 * percentile(latencies, 0.5),
        "p99_ms": 1000.0 * percentile(latencies, 0.99),
    }
