"""Balance, churn and unavailability of owned keys for several placement policies."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING
from typing import Any

from medlarpass.ownership import Assignment
from medlarpass.ownership.hot_key_policy import HotKeySettings
from medlarpass.ownership.placement_baselines import consistent_hashing
from medlarpass.ownership.placement_baselines import modulo_hashing
from medlarpass.ownership.placement_baselines import rendezvous_hashing
from medlarpass_daemon.control.delegator import HYSTERESIS_RATIO as DELEGATION_HYSTERESIS
from medlarpass_daemon.entry.grant_planner import HYSTERESIS_RATIOS
from tools.measure.deployment import BUNGKUS
from tools.measure.deployment import DEPLOYMENTS
from tools.measure.figures import mean
from tools.measure.figures import percentile
from tools.measure.fleet import Fleet
from tools.measure.hot_keys import KEY_COUNT
from tools.measure.key_load import POOL
from tools.measure.key_load import SHARD_COUNT
from tools.measure.key_load import KeyLoad
from tools.measure.placement_model import CoordinatedModel
from tools.measure.placement_model import HashModel
from tools.measure.placement_model import Owners
from tools.measure.placement_model import PlacementModel
from tools.measure.placement_model import PlacementVariant
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from tools.measure.deployment import Deployment
    from tools.measure.options import Options

# Time a key has no owner: after the loss of a server (session term) and during a planned move.
LOSS_GAP_SECONDS = 0.6
MOVE_GAP_SECONDS = 0.05
# Sketches and rates need this long to fill; these seconds are not counted.
SETTLING_SECONDS = 20
STEADY_CASE = "hot keys stay"
CASES = ("hot keys change", "servers come and go", "domain lost and back")


class PlacementStatistics:
    """Accumulates the figures of one policy over one trace.

    :param load: load trace
    :param domains: domain by server
    """

    __slots__ = (
        "domain_ratios",
        "domains",
        "load",
        "measured_seconds",
        "min_moved_keys",
        "moved_keys",
        "previous_available",
        "previous_owners",
        "ratios",
        "unowned_key_seconds",
    )

    def __init__(self, load: KeyLoad, domains: dict[str, int]) -> None:
        self.load = load
        self.domains = domains
        self.previous_owners: Owners = {}
        self.previous_available: set[str] = set()
        self.ratios: list[float] = []
        self.domain_ratios: list[float] = []
        self.moved_keys = 0.0
        self.min_moved_keys = 0.0
        self.unowned_key_seconds = 0.0
        self.measured_seconds = 0

    def add(self, second: int, connected: set[str], available: set[str], owners: Owners) -> None:
        """Record one second.

        :param connected: servers with a session
        :param available: servers with a session that are not draining
        :param owners: current owners
        """
        if second >= SETTLING_SECONDS:
            self._count_moves(connected, available, owners)
            self._count_balance(self.load.hot_rates[second], available, owners)
            self.measured_seconds += 1
        self.previous_owners, self.previous_available = dict(owners), available

    def _count_moves(self, connected: set[str], available: set[str], owners: Owners) -> None:
        for assignment in owners.keys() | self.previous_owners.keys():
            previous_owner = self.previous_owners.get(
                assignment, self.previous_owners.get(assignment.shard_assignment)
            )
            owner = owners.get(assignment, owners.get(assignment.shard_assignment))
            keys = self._key_count(assignment)
            if previous_owner is not None and previous_owner not in available:
                self.min_moved_keys += keys
            if previous_owner == owner:
                continue
            self.moved_keys += keys
            self.unowned_key_seconds += keys * (
                MOVE_GAP_SECONDS if previous_owner in connected else LOSS_GAP_SECONDS
            )
        arrived = len(available - self.previous_available)
        self.min_moved_keys += KEY_COUNT * arrived / len(available)

    def _key_count(self, assignment: Assignment) -> int:
        return 1 if assignment.key is not None else self.load.keys_of_shard[assignment.shard]

    def _count_balance(self, hot: dict[str, float], available: set[str], owners: Owners) -> None:
        rate_by_server = dict.fromkeys(available, 0.0)
        for shard in range(SHARD_COUNT):
            rate_by_server[owners[Assignment(POOL, shard)]] += self.load.tail_rates[shard]
        for key, rate in hot.items():
            shard = self.load.shard_of_key[key]
            owner = owners.get(Assignment(POOL, shard, key)) or owners[Assignment(POOL, shard)]
            rate_by_server[owner] += rate
        self.ratios.append(_max_to_mean_ratio(rate_by_server.values()))
        domains = {self.domains[server] for server in available}
        self.domain_ratios.append(
            max(
                _max_to_mean_ratio(
                    [
                        rate
                        for server, rate in rate_by_server.items()
                        if self.domains[server] == domain
                    ]
                )
                for domain in domains
            )
        )

    def figures(self) -> dict[str, float]:
        """Return the figures."""
        result = {
            "ratio_mean": mean(self.ratios),
            "ratio_p99": percentile(self.ratios, 0.99),
            "ratio_max": max(self.ratios),
            "in_domain_p99": percentile(self.domain_ratios, 0.99),
            "moved_pct_per_min": 100.0 * self.moved_keys / KEY_COUNT / self.measured_seconds * 60.0,
            "key_s_per_min": self.unowned_key_seconds / self.measured_seconds * 60.0,
        }
        if self.min_moved_keys:
            result["churn"] = self.moved_keys / self.min_moved_keys
        return result


def _max_to_mean_ratio(rates: Collection[float]) -> float:
    total = sum(rates)
    return max(rates) * len(rates) / total if total else 1.0


@section("placement", "Placement of owned keys under changing hot keys")
def run(options: Options) -> list[Row]:
    """Measure all policies over the same traces."""
    seconds = int(options.choose(90, 300))
    rows = []
    for deployment in DEPLOYMENTS[: int(options.choose(1, 2))]:
        steady = KeyLoad(options, deployment, seconds, turnover=inf)
        changing = KeyLoad(options, deployment, seconds)
        for case, load in [(STEADY_CASE, steady), *((case, changing) for case in CASES)]:
            for name, build in _policies(deployment, load).items():
                figures = measure(options, deployment, load, case, build())
                rows.append(Row(f"{deployment.name}, {case}", name, figures))
    return rows


def measure(
    options: Options, deployment: Deployment, load: KeyLoad, case: str, model: PlacementModel
) -> dict[str, float]:
    """Measure one policy in one case."""
    fleet = Fleet(deployment, len(load.hot_rates))
    if case == "servers come and go":
        fleet.stop_and_start(options)
    if case == "domain lost and back":
        fleet.lose_domain(0)
    statistics = PlacementStatistics(
        load, {member.server: member.domain for member in fleet.members_by_second[0].values()}
    )
    for second, members in enumerate(fleet.members_by_second):
        owners = model.step(members, load.measured_loads[second])
        available = {member.server for member in members.values() if not member.draining}
        statistics.add(second, set(members), available, owners)
    return statistics.figures()


def _policies(deployment: Deployment, load: KeyLoad) -> dict[str, Callable[[], PlacementModel]]:
    favours = "balance" if deployment is BUNGKUS else "availability"
    daemon_settings: dict[str, Any] = {
        "hysteresis": HYSTERESIS_RATIOS[favours],
        "compare_with_own_load": True,
        "isolate_ratio": HotKeySettings().isolate_ratio,
        "weigh_domains": True,
        "delegation_hysteresis": DELEGATION_HYSTERESIS,
    }
    # Former settings of the daemon, kept as a baseline.
    earlier_settings = PlacementVariant(hysteresis=0.05 if deployment is BUNGKUS else 0.1)

    def coordinated(variant: PlacementVariant) -> Callable[[], PlacementModel]:
        return lambda: CoordinatedModel(deployment.domains, deployment.slots, load, variant)

    return {
        "medlarpass": coordinated(PlacementVariant(**daemon_settings)),
        "earlier settings": coordinated(earlier_settings),
        "rates not averaged": coordinated(
            PlacementVariant(**daemon_settings, smoothing_seconds=0.0)
        ),
        "no isolation": coordinated(PlacementVariant(**daemon_settings, isolate=False)),
        "modulo": lambda: HashModel(modulo_hashing),
        "consistent hashing": lambda: HashModel(consistent_hashing),
        "rendezvous": lambda: HashModel(rendezvous_hashing),
    }
