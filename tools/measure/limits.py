"""Limits per server while the pool is at and above its capacity."""

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

LOADS = (0.7, 0.95, 1.3)
RUN_TIME = 0.06
SIGMA = 0.5
PATIENCE = 2.0

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
        Row(f"{deployment.name}, load {load:g}", name, measure(options, deployment, load, policy))
        for deployment in DEPLOYMENTS
        for load in LOADS
        for name, policy in POLICIES.items()
    ]


def measure(
    options: Options, deployment: Deployment, load: float, limiter: LimiterSettings | None
) -> dict[str, float]:
    """Run one trace with one policy."""
    loop = EventLoop()
    length = options.choose(3.0, 15.0)
    servers = [
        ServerModel(loop, f"s{n}", deployment.slots, queue_limit=deployment.slots)
        for n in range(deployment.order_servers)
    ]
    delays = [deployment.domain_delay] * len(servers)
    entries: list[EntryModel] = []
    for n in range(deployment.entries):
        balancer = Balancer(BalancerSettings(), loop, options.rng("choice", n))
        if limiter is None:
            entries.append(EntryModel(loop, balancer, Order(), servers, delays))
        else:
            entries.append(LimitedEntry(loop, balancer, Order(), servers, delays, limiter))
    rng = options.rng("limits", deployment.name, load)
    rate = load * deployment.order_servers * deployment.slots / RUN_TIME

    def arrive() -> None:
        if loop.now() >= length:
            return
        entry = entries[rng.randrange(len(entries))]
        entry.begin(lognormal(rng, RUN_TIME, SIGMA), PATIENCE)
        loop.after(rng.expovariate(rate), arrive)

    loop.after(0.0, arrive)
    loop.run(length + PATIENCE)
    attempts = sum(entry.attempts for entry in entries)
    requests = sum(entry.requests for entry in entries)
    latencies = [value for entry in entries for value in entry.latencies]
    return {
        "shed_pct": 100.0 * sum(server.refused_count for server in servers) / attempts,
        "served_pct": 100.0 * len(latencies) / requests,
        "p50_ms": 1000.0 * percentile(latencies, 0.5),
        "p99_ms": 1000.0 * percentile(latencies, 0.99),
    }
