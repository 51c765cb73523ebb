"""Places assignments on the servers of a domain in proportion to slots and measured load."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from medlarpass.clock import Clock
    from medlarpass.ownership.shard import Assignment

SECONDS_PER_MINUTE = 60.0


class PlacementSettings(Value):
    """Settings of a placement.

    :param hysteresis: largest utilisation above the mean that is left alone, as a part of the mean;
        below the permitted ratio of 1.15
    :param moves_per_minute: limit of moves for balance; a draining server is emptied without limit
    :param ramp: seconds in which a new server's weight grows to its slots, to cover its cold start
    :param first_weight: part of the slots that a new server starts with
    """

    __slots__ = ("first_weight", "hysteresis", "moves_per_minute", "ramp")

    def __init__(
        self,
        hysteresis: float = 0.08,
        moves_per_minute: int = 60,
        ramp: float = 10.0,
        first_weight: float = 0.25,
    ) -> None:
        self.hysteresis = hysteresis
        self.moves_per_minute = moves_per_minute
        self.ramp = ramp
        self.first_weight = first_weight


class Candidate(Value):
    """A server that may own assignments.

    :param server: identity of the server
    :param slots: requests that it runs at a time
    :param draining: whether it has to give away what it owns
    """

    __slots__ = ("draining", "server", "slots")

    def __init__(self, server: str, slots: int, draining: bool = False) -> None:
        self.server = server
        self.slots = slots
        self.draining = draining


class Placement:
    """Decides which assignment goes to which server; it moves as little as the limits allow.

    :param clock: clock of the coordinator
    :param settings: limits
    """

    __slots__ = ("clock", "first_seen", "moved_at", "settings")

    def __init__(self, clock: Clock, settings: PlacementSettings) -> None:
        self.clock = clock
        self.settings = settings
        self.first_seen: dict[str, float] = {}
        self.moved_at: list[float] = []

    def plan(
        self,
        owners: Mapping[Assignment, str | None],
        candidates: Iterable[Candidate],
        loads: Mapping[Assignment, float],
    ) -> dict[Assignment, str]:
        """Return the assignments that should get another owner, with that owner.

        :param owners: present owner of each assignment, or ``None``
        :param candidates: servers of the pool with a session
        :param loads: measured load, for example requests per second; an assignment without
            measurement counts as the mean
        """
        weights = self._weights(candidates)
        if not weights:
            return {}
        load = _complete(owners, loads)
        total = dict.fromkeys(weights, 0.0)
        owned: dict[str, list[Assignment]] = {server: [] for server in weights}
        homeless: list[Assignment] = []
        for assignment, owner in owners.items():
            if owner is None or owner not in weights:
                homeless.append(assignment)
                continue
            total[owner] += load[assignment]
            owned[owner].append(assignment)
        plan: dict[Assignment, str] = {}
        # The largest ones first, because small ones fill the remaining gaps best.
        for assignment in sorted(homeless, key=lambda each: (-load[each], each)):
            server = min(weights, key=lambda name: (total[name] + load[assignment]) / weights[name])
            plan[assignment] = server
            total[server] += load[assignment]
        self._balance(plan, weights, total, owned, load)
        return plan

    def _weights(self, candidates: Iterable[Candidate]) -> dict[str, float]:
        now = self.clock.now()
        present = list(candidates)
        known = bool(self.first_seen)
        for each in present:
            # Servers that are there at the first plan are taken as warm.
            self.first_seen.setdefault(each.server, now if known else now - self.settings.ramp)
        names = {each.server for each in present}
        self.first_seen = {name: at for name, at in self.first_seen.items() if name in names}
        return {
            each.server: each.slots * self._warmth(now - self.first_seen[each.server])
            for each in sorted(present, key=lambda each: each.server)
            if not each.draining and each.slots > 0
        }

    def _warmth(self, age: float) -> float:
        settings = self.settings
        if settings.ramp <= 0:
            return 1.0
        grown = min(1.0, max(0.0, age / settings.ramp))
        return settings.first_weight + (1.0 - settings.first_weight) * grown

    def _allowance(self) -> int:
        since = self.clock.now() - SECONDS_PER_MINUTE
        self.moved_at = [at for at in self.moved_at if at > since]
        return self.settings.moves_per_minute - len(self.moved_at)

    def _balance(
        self,
        plan: dict[Assignment, str],
        weights: Mapping[str, float],
        total: dict[str, float],
        owned: Mapping[str, list[Assignment]],
        load: Mapping[Assignment, float],
    ) -> None:
        mean = sum(total.values()) / sum(weights.values())
        limit = mean * (1.0 + self.settings.hysteresis)
        allowance = self._allowance()
        # A server whose single assignment is above the limit cannot be relieved; the others can.
        open_servers = set(weights)
        while allowance > 0 and open_servers:
            fullest = max(sorted(open_servers), key=lambda name: total[name] / weights[name])
            if total[fullest] / weights[fullest] <= limit:
                return
            emptiest = min(weights, key=lambda name: total[name] / weights[name])
            move = self._best_move(owned[fullest], fullest, emptiest, weights, total, load)
            if move is None:
                open_servers.discard(fullest)
                continue
            owned[fullest].remove(move)
            plan[move] = emptiest
            total[fullest] -= load[move]
            total[emptiest] += load[move]
            self.moved_at.append(self.clock.now())
            allowance -= 1

    def _best_move(
        self,
        owned: Iterable[Assignment],
        source: str,
        target: str,
        weights: Mapping[str, float],
        total: Mapping[str, float],
        load: Mapping[Assignment, float],
    ) -> Assignment | None:
        best: Assignment | None = None
        lowest = total[source] / weights[source]
        for each in owned:
            after = max(
                (total[source] - load[each]) / weights[source],
                (total[target] + load[each]) / weights[target],
            )
            if after < lowest:
                best, lowest = each, after
        return best


def _complete(
    owners: Iterable[Assignment], loads: Mapping[Assignment, float]
) -> dict[Assignment, float]:
    measured = [load for load in loads.values() if load > 0]
    mean = sum(measured) / len(measured) if measured else 1.0
    return {each: loads.get(each, mean) for each in owners}
