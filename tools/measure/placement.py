"""Balance, churn and unavailable time of the placement of owned keys."""

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
from tools.measure.hot_keys import KEYS
from tools.measure.key_load import POOL
from tools.measure.key_load import SHARDS
from tools.measure.key_load import KeyLoad
from tools.measure.placement_model import CoordinatedModel
from tools.measure.placement_model import HashModel
from tools.measure.placement_model import Model
from tools.measure.placement_model import Owners
from tools.measure.placement_model import Variant
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from tools.measure.deployment import Deployment
    from tools.measure.options import Options

# Seconds without an owner after a loss (session term) and in a planned move.
LOSS_GAP = 0.6
MOVE_GAP = 0.05
# The first seconds, in which sketches and rates fill, are not counted.
SETTLING = 20
STEADY = "hot keys stay"
CASES = ("hot keys change", "servers come and go", "domain lost and back")


class Tally:
    """Figures of one policy over one trace.

    :param load: trace of the load
    :param domains: domain by server
    """

    __slots__ = (
        "domains",
        "gap",
        "inside",
        "least",
        "load",
        "moved",
        "owners",
        "ratios",
        "seconds",
        "there",
    )

    def __init__(self, load: KeyLoad, domains: dict[str, int]) -> None:
        self.load = load
        self.domains = domains
        self.owners: Owners = {}
        self.there: set[str] = set()
        self.ratios: list[float] = []
        self.inside: list[float] = []
        self.moved = 0.0
        self.least = 0.0
        self.gap = 0.0
        self.seconds = 0

    def add(self, second: int, there: set[str], staying: set[str], owners: Owners) -> None:
        """Note one second.

        :param there: servers with a session
        :param staying: those of them that are not draining
        :param owners: present owners
        """
        if second >= SETTLING:
            self._count_moves(there, staying, owners)
            self._count_balance(self.load.hot[second], staying, owners)
            self.seconds += 1
        self.owners, self.there = dict(owners), staying

    def _count_moves(self, there: set[str], staying: set[str], owners: Owners) -> None:
        for assignment in owners.keys() | self.owners.keys():
            before = self.owners.get(assignment, self.owners.get(assignment.shard_assignment))
            after = owners.get(assignment, owners.get(assignment.shard_assignment))
            keys = self._keys(assignment)
            if before is not None and before not in staying:
                self.least += keys
            if before == after:
                continue
            self.moved += keys
            self.gap += keys * (MOVE_GAP if before in there else LOSS_GAP)
        arrived = len(staying - self.there)
        self.least += KEYS * arrived / len(staying)

    def _keys(self, assignment: Assignment) -> int:
        return 1 if assignment.key is not None else self.load.keys_of_shard[assignment.shard]

    def _count_balance(self, hot: dict[str, float], staying: set[str], owners: Owners) -> None:
        used = dict.fromkeys(staying, 0.0)
        for shard in range(SHARDS):
            used[owners[Assignment(POOL, shard)]] += self.load.tail[shard]
        for key, rate in hot.items():
            shard = self.load.shard_of_key[key]
            owner = owners.get(Assignment(POOL, shard, key)) or owners[Assignment(POOL, shard)]
            used[owner] += rate
        self.ratios.append(_ratio(used.values()))
        domains = {self.domains[server] for server in staying}
        self.inside.append(
            max(
                _ratio([load for server, load in used.items() if self.domains[server] == domain])
                for domain in domains
            )
        )

    def figures(self) -> dict[str, float]:
        """Return the figures."""
        result = {
            "ratio_mean": mean(self.ratios),
            "ratio_p99": percentile(self.ratios, 0.99),
            "ratio_max": max(self.ratios),
            "in_domain_p99": percentile(self.inside, 0.99),
            "moved_pct_per_min": 100.0 * self.moved / KEYS / self.seconds * 60.0,
            "key_s_per_min": self.gap / self.seconds * 60.0,
        }
        if self.least:
            result["churn"] = self.moved / self.least
        return result


def _ratio(used: Collection[float]) -> float:
    total = sum(used)
    return max(used) * len(used) / total if total else 1.0


@section("placement", "Placement of owned keys under changing hot keys")
def run(options: Options) -> list[Row]:
    """Measure all policies over the same traces."""
    seconds = int(options.choose(90, 300))
    rows = []
    for deployment in DEPLOYMENTS[: int(options.choose(1, 2))]:
        steady = KeyLoad(options, deployment, seconds, turnover=inf)
        changing = KeyLoad(options, deployment, seconds)
        for case, load in [(STEADY, steady), *((each, changing) for each in CASES)]:
            for name, build in _policies(deployment, load).items():
                figures = measure(options, deployment, load, case, build())
                rows.append(Row(f"{deployment.name}, {case}", name, figures))
    return rows


def measure(
    options: Options, deployment: Deployment, load: KeyLoad, case: str, model: Model
) -> dict[str, float]:
    """Run one case with one policy."""
    fleet = Fleet(deployment, len(load.hot))
    if case == "servers come and go":
        fleet.stop_and_start(options)
    if case == "domain lost and back":
        fleet.lose_domain(0)
    tally = Tally(load, {each.server: each.domain for each in fleet.seconds[0].values()})
    for second, members in enumerate(fleet.seconds):
        owners = model.step(members, load.measured[second])
        staying = {each.server for each in members.values() if not each.draining}
        tally.add(second, set(members), staying, owners)
    return tally.figures()


def _policies(deployment: Deployment, load: KeyLoad) -> dict[str, Callable[[], Model]]:
    favours = "balance" if deployment is BUNGKUS else "availability"
    daemon: dict[str, Any] = {
        "hysteresis": HYSTERESIS_RATIOS[favours],
        "own_mean": True,
        "isolate_share": HotKeySettings().isolate_ratio,
        "weigh": True,
        "delegation_hysteresis": DELEGATION_HYSTERESIS,
    }
    # What the daemon used before the first measurement.
    earlier = Variant(hysteresis=0.05 if deployment is BUNGKUS else 0.1)

    def coordinated(variant: Variant) -> Callable[[], Model]:
        return lambda: CoordinatedModel(deployment.domains, deployment.slots, load, variant)

    return {
        "medlarpass": coordinated(Variant(**daemon)),
        "earlier settings": coordinated(earlier),
        "rates not averaged": coordinated(Variant(**daemon, smoothing=0.0)),
        "no isolation": coordinated(Variant(**daemon, isolate=False)),
        "modulo": lambda: HashModel(modulo_hashing),
        "consistent hashing": lambda: HashModel(consistent_hashing),
        "rendezvous": lambda: HashModel(rendezvous_hashing),
    }
