"""Placements as a coordinator or a hash function decides them, second by second."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Candidate
from medlarpass.ownership import DelegationPlanner
from medlarpass.ownership import DelegationTable
from medlarpass.ownership import Placement
from medlarpass.ownership import PlacementSettings
from medlarpass.ownership.domain_weights import weighted_slots
from medlarpass.ownership.hot_key_policy import HotKeyPolicy
from medlarpass.ownership.hot_key_policy import HotKeySettings
from medlarpass.rpc import control_pb2 as pb
from tools.measure.key_load import POOL
from tools.measure.key_load import SHARDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tools.measure.fleet import Member
    from tools.measure.key_load import KeyLoad
    from tools.measure.key_load import Measured

Owners = dict[Assignment, str]
Hashing = "Callable[[Sequence[Assignment], Sequence[str]], Owners]"
WHOLE = [Assignment(POOL, shard) for shard in range(SHARDS)]


class Model(Protocol):
    """Decides the owners of all assignments once per second."""

    def step(self, members: Mapping[str, Member], measured: Sequence[Measured]) -> Owners:
        """Return the owners; an isolated key is listed apart from its shard."""
        ...


class HashModel:
    """Places all shards on all servers by a hash function.

    :param place: hash function
    """

    __slots__ = ("known", "place")

    def __init__(self, place: Callable[[Sequence[Assignment], Sequence[str]], Owners]) -> None:
        self.place = place
        self.known: dict[tuple[str, ...], Owners] = {}

    def step(self, members: Mapping[str, Member], measured: Sequence[Measured]) -> Owners:
        """Return the owners."""
        servers = tuple(sorted(each.server for each in members.values() if not each.draining))
        if servers not in self.known:
            self.known[servers] = self.place(WHOLE, servers)
        return self.known[servers]


class Variant:
    """Settings of a placement under measurement.

    :param hysteresis: of the placement
    :param isolate: whether hot keys are isolated
    :param moves_per_minute: of the placement
    :param weigh: whether domains get shards by measured load instead of by number
    :param delegation_hysteresis: of the planner of delegations
    :param own_mean: whether hot keys are compared with the load of the domain's own shards
        instead of all requests that the domain's entries send
    :param isolate_share: of the policy of hot keys
    :param domain_smoothing: seconds over which the load of a domain's average shard is averaged
    :param smoothing: seconds over which the placement smooths loads; ``None`` for the default
    """

    __slots__ = (
        "delegation_hysteresis",
        "domain_smoothing",
        "hysteresis",
        "isolate",
        "isolate_share",
        "moves_per_minute",
        "own_mean",
        "smoothing",
        "weigh",
    )

    def __init__(
        self,
        hysteresis: float = 0.05,
        isolate: bool = True,
        moves_per_minute: int = 60,
        weigh: bool = False,
        delegation_hysteresis: float = 0.1,
        own_mean: bool = False,
        isolate_share: float = 0.1,
        domain_smoothing: float = 30.0,
        smoothing: float | None = None,
    ) -> None:
        self.hysteresis = hysteresis
        self.isolate = isolate
        self.moves_per_minute = moves_per_minute
        self.weigh = weigh
        self.delegation_hysteresis = delegation_hysteresis
        self.own_mean = own_mean
        self.isolate_share = isolate_share
        self.domain_smoothing = domain_smoothing
        self.smoothing = smoothing


class DomainModel:
    """Coordinator of one domain.

    :param slots: slots of each server
    :param load: names the shards of keys
    :param variant: settings
    :param clock: clock of the coordinator
    """

    __slots__ = ("clock", "isolated", "load", "owners", "placement", "policy", "slots", "variant")

    def __init__(self, slots: int, load: KeyLoad, variant: Variant, clock: ManualClock) -> None:
        self.slots = slots
        self.load = load
        self.variant = variant
        self.clock = clock
        self.owners: dict[Assignment, str | None] = {}
        self.isolated: dict[str, Assignment] = {}
        self.reset()

    def reset(self) -> None:
        """Start a term of office."""
        settings = PlacementSettings(
            hysteresis=self.variant.hysteresis, moves_per_minute=self.variant.moves_per_minute
        )
        if self.variant.smoothing is not None:
            settings.smoothing_seconds = self.variant.smoothing
        self.placement = Placement(self.clock, settings)
        self.policy = HotKeyPolicy(
            HotKeySettings(
                isolate_ratio=self.variant.isolate_share,
                merge_ratio=0.4 * self.variant.isolate_share,
            ),
            self.clock,
        )

    def step(self, held: set[int], members: Sequence[Member], measured: Measured) -> Owners:
        """Plan one second.

        :param held: shards delegated to the domain
        :param members: servers of the domain
        :param measured: reports of the domain's entries
        """
        names = {each.server for each in members}
        for shard in held:
            self.owners.setdefault(Assignment(POOL, shard), None)
        for assignment, owner in list(self.owners.items()):
            if assignment.shard not in held:
                del self.owners[assignment]
                self.isolated.pop(assignment.key or "", None)
            elif owner not in names:
                self.owners[assignment] = None
        if self.variant.isolate:
            self._plan_hot_keys(held, len(names), measured)
        candidates = [Candidate(each.server, self.slots, each.draining) for each in members]
        plan = self.placement.plan(self.owners, candidates, self._loads(measured))
        self.owners.update(plan)
        return {each: owner for each, owner in self.owners.items() if owner is not None}

    def _plan_hot_keys(self, held: set[int], servers: int, measured: Measured) -> None:
        mean_load = self._mean_load(measured, held, servers)
        plan = self.policy.plan(measured.hot, self.isolated.keys(), mean_load)
        for key in plan.isolate:
            shard = self.load.shard_of_key[key]
            if shard in held:
                self.isolated[key] = Assignment(POOL, shard, key)
                # It stays with the shard's owner until the placement moves it.
                self.owners[self.isolated[key]] = self.owners[self.isolated[key].shard_assignment]
        for key in plan.merge:
            del self.owners[self.isolated.pop(key)]

    def _mean_load(self, measured: Measured, held: set[int], servers: int) -> float:
        rates = measured.shards
        if self.variant.own_mean:
            return sum(rates.get(Assignment(POOL, each), 0.0) for each in held) / max(1, servers)
        # As in the daemon: what the domain's entries send to all domains.
        return sum(rates.values()) / max(1, servers)

    def _loads(self, measured: Measured) -> dict[Assignment, float]:
        loads = dict(measured.shards)
        for key, assignment in self.isolated.items():
            rate = measured.hot.get(key, 0.0)
            loads[assignment] = rate
            if assignment.shard_assignment in loads:
                loads[assignment.shard_assignment] = max(
                    0.0, loads[assignment.shard_assignment] - rate
                )
        return loads


class CoordinatedModel:
    """Delegation to domains by the control leader and placement by the domains' coordinators.

    :param domains: number of failure domains
    :param slots: slots of each server
    :param load: names the shards of keys
    :param variant: settings
    """

    __slots__ = ("clock", "domains", "planner", "shard_loads", "slots", "table", "variant")

    def __init__(self, domains: int, slots: int, load: KeyLoad, variant: Variant) -> None:
        self.clock = ManualClock()
        self.slots = slots
        self.domains = [DomainModel(slots, load, variant, self.clock) for _ in range(domains)]
        self.planner = DelegationPlanner(hysteresis=variant.delegation_hysteresis)
        self.variant = variant
        self.table = DelegationTable()
        self.shard_loads: dict[int, float] = {}

    def step(self, members: Mapping[str, Member], measured: Sequence[Measured]) -> Owners:
        """Return the owners."""
        self.clock.advance(1.0)
        by_domain: list[list[Member]] = [[] for _ in self.domains]
        for each in members.values():
            by_domain[each.domain].append(each)
        self._delegate(by_domain, measured)
        owners: Owners = {}
        for number, domain in enumerate(self.domains):
            held = {each.shard for each in self.table.held_by(str(number))}
            owners |= domain.step(held, by_domain[number], measured[number])
        return owners

    def _delegate(self, by_domain: list[list[Member]], measured: Sequence[Measured]) -> None:
        slots = {
            str(number): self.slots * sum(not each.draining for each in members)
            for number, members in enumerate(by_domain)
        }
        if self.variant.weigh:
            slots = self._weighted(slots, measured)
        for number, members in enumerate(by_domain):
            if not members:
                self._free(str(number), [each.shard for each in self.table.held_by(str(number))])
        assign, moves = self.planner.plan(self.table, POOL, SHARDS, slots)
        self.table.apply(assign)
        self.table.apply(moves)
        for number in range(len(by_domain)):
            held = list(self.table.held_by(str(number)))
            self._free(str(number), [each.shard for each in held if each.release])
        assign, _ = self.planner.plan(self.table, POOL, SHARDS, slots)
        self.table.apply(assign)

    def _weighted(self, slots: dict[str, int], measured: Sequence[Measured]) -> dict[str, int]:
        shards: dict[str, int] = {}
        loads: dict[str, float] = {}
        for number in range(len(self.domains)):
            held = [each.shard for each in self.table.held_by(str(number))]
            shards[str(number)] = len(held)
            # Every domain's entries see requests for all shards.
            loads[str(number)] = sum(
                each.shards.get(Assignment(POOL, shard), 0.0) for each in measured for shard in held
            )
            if not held:
                self.shard_loads.pop(number, None)
                continue
            # The average is kept for a shard, because the number of shards changes at once.
            per_shard = loads[str(number)] / len(held)
            known = self.shard_loads.get(number, per_shard)
            known += (per_shard - known) / self.variant.domain_smoothing
            self.shard_loads[number] = known
            loads[str(number)] = known * len(held)
        return weighted_slots(slots, loads, shards)

    def _free(self, domain: str, shards: list[int]) -> None:
        command = pb.FreeShards(domain=domain)
        for shard in shards:
            epoch = self.table.delegations[POOL, shard].epoch
            command.shards.append(pb.ShardEpoch(pool=POOL, shard=shard, epoch=epoch))
        self.table.apply(command)
