"""Placement by coordinators or by a hash function, simulated in steps of one second."""

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
from tools.measure.key_load import SHARD_COUNT

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from tools.measure.fleet import Member
    from tools.measure.key_load import KeyLoad
    from tools.measure.key_load import MeasuredLoad

Owners = dict[Assignment, str]
Hashing = "Callable[[Sequence[Assignment], Sequence[str]], Owners]"
SHARD_ASSIGNMENTS = [Assignment(POOL, shard) for shard in range(SHARD_COUNT)]


class PlacementModel(Protocol):
    """Decides the owners of all assignments once per second."""

    def step(self, members: Mapping[str, Member], measured: Sequence[MeasuredLoad]) -> Owners:
        """Return the owners; an isolated key is listed separately from its shard."""
        ...


class HashModel:
    """Places all shards on all servers by a hash function.

    :param place_shards: function that maps shards to servers by a hash
    """

    __slots__ = ("owners_by_servers", "place_shards")

    def __init__(
        self, place_shards: Callable[[Sequence[Assignment], Sequence[str]], Owners]
    ) -> None:
        self.place_shards = place_shards
        self.owners_by_servers: dict[tuple[str, ...], Owners] = {}

    def step(self, members: Mapping[str, Member], measured: Sequence[MeasuredLoad]) -> Owners:
        """Return the owners."""
        servers = tuple(sorted(member.server for member in members.values() if not member.draining))
        if servers not in self.owners_by_servers:
            self.owners_by_servers[servers] = self.place_shards(SHARD_ASSIGNMENTS, servers)
        return self.owners_by_servers[servers]


class PlacementVariant:
    """Settings of a measured placement.

    :param hysteresis: hysteresis of the placement
    :param isolate: whether hot keys are isolated
    :param moves_per_minute: move limit of the placement
    :param weigh_domains: whether shards are delegated by measured load instead of by number
    :param delegation_hysteresis: hysteresis of the delegation planner
    :param compare_with_own_load: whether hot keys are compared with the load of the domain's own
        shards instead of all requests that the domain's entries send
    :param isolate_ratio: threshold of the hot key policy
    :param domain_smoothing_seconds: time over which the load per shard of a domain is averaged
    :param smoothing_seconds: time over which the placement averages loads; ``None`` for the
        default
    """

    __slots__ = (
        "compare_with_own_load",
        "delegation_hysteresis",
        "domain_smoothing_seconds",
        "hysteresis",
        "isolate",
        "isolate_ratio",
        "moves_per_minute",
        "smoothing_seconds",
        "weigh_domains",
    )

    def __init__(
        self,
        hysteresis: float = 0.05,
        isolate: bool = True,
        moves_per_minute: int = 60,
        weigh_domains: bool = False,
        delegation_hysteresis: float = 0.1,
        compare_with_own_load: bool = False,
        isolate_ratio: float = 0.1,
        domain_smoothing_seconds: float = 30.0,
        smoothing_seconds: float | None = None,
    ) -> None:
        self.hysteresis = hysteresis
        self.isolate = isolate
        self.moves_per_minute = moves_per_minute
        self.weigh_domains = weigh_domains
        self.delegation_hysteresis = delegation_hysteresis
        self.compare_with_own_load = compare_with_own_load
        self.isolate_ratio = isolate_ratio
        self.domain_smoothing_seconds = domain_smoothing_seconds
        self.smoothing_seconds = smoothing_seconds


class DomainModel:
    """Models the coordinator of one domain.

    :param slots: slots per server
    :param load: load trace, for the shard of each key
    :param variant: settings of the placement
    :param clock: clock of the coordinator
    """

    __slots__ = ("clock", "isolated", "load", "owners", "placement", "policy", "slots", "variant")

    def __init__(
        self, slots: int, load: KeyLoad, variant: PlacementVariant, clock: ManualClock
    ) -> None:
        self.slots = slots
        self.load = load
        self.variant = variant
        self.clock = clock
        self.owners: dict[Assignment, str | None] = {}
        self.isolated: dict[str, Assignment] = {}
        self.reset()

    def reset(self) -> None:
        """Start a coordinator tenure without measured history."""
        settings = PlacementSettings(
            hysteresis=self.variant.hysteresis, moves_per_minute=self.variant.moves_per_minute
        )
        if self.variant.smoothing_seconds is not None:
            settings.smoothing_seconds = self.variant.smoothing_seconds
        self.placement = Placement(self.clock, settings)
        self.policy = HotKeyPolicy(
            HotKeySettings(
                isolate_ratio=self.variant.isolate_ratio,
                merge_ratio=0.4 * self.variant.isolate_ratio,
            ),
            self.clock,
        )

    def step(self, held: set[int], members: Sequence[Member], measured: MeasuredLoad) -> Owners:
        """Plan one second and return the owners of the domain's assignments.

        :param held: shards delegated to the domain
        :param members: servers of the domain
        :param measured: reports of the domain's entries
        """
        names = {member.server for member in members}
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
        candidates = [Candidate(member.server, self.slots, member.draining) for member in members]
        plan = self.placement.plan(self.owners, candidates, self._loads(measured))
        self.owners.update(plan)
        return {assignment: owner for assignment, owner in self.owners.items() if owner is not None}

    def _plan_hot_keys(self, held: set[int], servers: int, measured: MeasuredLoad) -> None:
        mean_load = self._mean_load(measured, held, servers)
        plan = self.policy.plan(measured.hot_rates, self.isolated.keys(), mean_load)
        for key in plan.isolate:
            shard = self.load.shard_of_key[key]
            if shard in held:
                self.isolated[key] = Assignment(POOL, shard, key)
                # The key stays with the owner of its shard until the placement moves it.
                self.owners[self.isolated[key]] = self.owners[self.isolated[key].shard_assignment]
        for key in plan.merge:
            del self.owners[self.isolated.pop(key)]

    def _mean_load(self, measured: MeasuredLoad, held: set[int], servers: int) -> float:
        rates = measured.shard_rates
        if self.variant.compare_with_own_load:
            return sum(rates.get(Assignment(POOL, shard), 0.0) for shard in held) / max(1, servers)
        # The rule of the earlier settings includes requests that the entries send to other domains.
        return sum(rates.values()) / max(1, servers)

    def _loads(self, measured: MeasuredLoad) -> dict[Assignment, float]:
        loads = dict(measured.shard_rates)
        for key, assignment in self.isolated.items():
            rate = measured.hot_rates.get(key, 0.0)
            loads[assignment] = rate
            if assignment.shard_assignment in loads:
                loads[assignment.shard_assignment] = max(
                    0.0, loads[assignment.shard_assignment] - rate
                )
        return loads


class CoordinatedModel:
    """Models delegation by the control leader and placement by the domains' coordinators.

    :param domains: number of failure domains
    :param slots: slots per server
    :param load: load trace, for the shard of each key
    :param variant: settings of the placement
    """

    __slots__ = ("clock", "domains", "planner", "shard_loads", "slots", "table", "variant")

    def __init__(self, domains: int, slots: int, load: KeyLoad, variant: PlacementVariant) -> None:
        self.clock = ManualClock()
        self.slots = slots
        self.domains = [DomainModel(slots, load, variant, self.clock) for _ in range(domains)]
        self.planner = DelegationPlanner(hysteresis=variant.delegation_hysteresis)
        self.variant = variant
        self.table = DelegationTable()
        self.shard_loads: dict[int, float] = {}

    def step(self, members: Mapping[str, Member], measured: Sequence[MeasuredLoad]) -> Owners:
        """Return the owners."""
        self.clock.advance(1.0)
        by_domain: list[list[Member]] = [[] for _ in self.domains]
        for member in members.values():
            by_domain[member.domain].append(member)
        self._delegate(by_domain, measured)
        owners: Owners = {}
        for number, domain in enumerate(self.domains):
            held = {delegation.shard for delegation in self.table.held_by(str(number))}
            owners |= domain.step(held, by_domain[number], measured[number])
        return owners

    def _delegate(self, by_domain: list[list[Member]], measured: Sequence[MeasuredLoad]) -> None:
        slots = {
            str(number): self.slots * sum(not member.draining for member in members)
            for number, members in enumerate(by_domain)
        }
        if self.variant.weigh_domains:
            slots = self._weight_by_load(slots, measured)
        for number, members in enumerate(by_domain):
            if not members:
                self._free_shards(
                    str(number),
                    [delegation.shard for delegation in self.table.held_by(str(number))],
                )
        assign, moves = self.planner.plan(self.table, POOL, SHARD_COUNT, slots)
        self.table.apply(assign)
        self.table.apply(moves)
        for number in range(len(by_domain)):
            held = list(self.table.held_by(str(number)))
            self._free_shards(
                str(number), [delegation.shard for delegation in held if delegation.release]
            )
        assign, _ = self.planner.plan(self.table, POOL, SHARD_COUNT, slots)
        self.table.apply(assign)

    def _weight_by_load(
        self, slots: dict[str, int], measured: Sequence[MeasuredLoad]
    ) -> dict[str, int]:
        shards: dict[str, int] = {}
        loads: dict[str, float] = {}
        for number in range(len(self.domains)):
            held = [delegation.shard for delegation in self.table.held_by(str(number))]
            shards[str(number)] = len(held)
            # The entries of every domain receive requests for all shards.
            loads[str(number)] = sum(
                report.shard_rates.get(Assignment(POOL, shard), 0.0)
                for report in measured
                for shard in held
            )
            if not held:
                self.shard_loads.pop(number, None)
                continue
            # Averages the load per shard, because the number of shards changes in steps.
            per_shard = loads[str(number)] / len(held)
            average = self.shard_loads.get(number, per_shard)
            average += (per_shard - average) / self.variant.domain_smoothing_seconds
            self.shard_loads[number] = average
            loads[str(number)] = average * len(held)
        return weighted_slots(slots, loads, shards)

    def _free_shards(self, domain: str, shards: list[int]) -> None:
        command = pb.FreeShards(domain=domain)
        for shard in shards:
            epoch = self.table.delegations[POOL, shard].epoch
            command.shards.append(pb.ShardEpoch(pool=POOL, shard=shard, epoch=epoch))
        self.table.apply(command)
