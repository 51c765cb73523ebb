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
    :param smoothing: seconds over which the loads of shards are averaged; the entries' rates of
        quiet shards scatter so much that following them moves most keys every minute
    :param key_smoothing: the same for isolated keys, which are hotter and change sooner
    :param key_hysteresis: the same as ``hysteresis`` for moves of isolated keys, which change the
        owner of one key only
    """

    __slots__ = (
        "first_weight",
        "hysteresis",
        "key_hysteresis",
        "key_smoothing",
        "moves_per_minute",
        "ramp",
        "smoothing",
    )

    def __init__(
        self,
        hysteresis: float = 0.08,
        moves_per_minute: int = 60,
        ramp: float = 10.0,
        first_weight: float = 0.25,
        smoothing: float = 60.0,
        key_smoothing: float = 5.0,
        key_hysteresis: float = 0.03,
    ) -> None:
        self.hysteresis = hysteresis
        self.moves_per_minute = moves_per_minute
        self.ramp = ramp
        self.first_weight = first_weight
        self.smoothing = smoothing
        self.key_smoothing = key_smoothing
        self.key_hysteresis = key_hysteresis


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


class LoadEstimate:
    """Running average of a load.

    :param value: average in the unit of the load
    :param at: time of the last measurement, in seconds
    :param since: time of the first measurement, in seconds
    """

    __slots__ = ("at", "since", "value")

    def __init__(self, value: float, at: float) -> None:
        self.value = value
        self.at = at
        self.since = at

    def add(self, load: float, now: float, smoothing: float) -> None:
        """Take a measurement into the average.

        :param load: measured load
        :param now: time of the measurement, in seconds
        :param smoothing: span of the average in seconds; the time since the first measurement when
            that is shorter, so that the first one does not weigh more than others
        """
        span = min(smoothing, now - self.since)
        part = min(1.0, (now - self.at) / span) if span > 0 else 1.0
        self.value += part * (load - self.value)
        self.at = now


class Placement:
    """Decides which assignment goes to which server; it moves as little as the limits allow.

    :param clock: clock of the coordinator
    :param settings: limits
    """

    __slots__ = ("clock", "estimates", "first_seen", "moved_at", "settings")

    def __init__(self, clock: Clock, settings: PlacementSettings) -> None:
        self.clock = clock
        self.settings = settings
        self.first_seen: dict[str, float] = {}
        self.moved_at: list[float] = []
        self.estimates: dict[Assignment, LoadEstimate] = {}

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
        load = _complete(owners, self._estimate(owners, loads))
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

    def _estimate(
        self, owners: Iterable[Assignment], loads: Mapping[Assignment, float]
    ) -> dict[Assignment, float]:
        now = self.clock.now()
        kept: dict[Assignment, LoadEstimate] = {}
        result: dict[Assignment, float] = {}
        for each in owners:
            known = self.estimates.get(each)
            if known is None and each in loads:
                known = LoadEstimate(loads[each], now)
            elif known is not None and each in loads:
                known.add(loads[each], now, self._span(each))
            if known is not None:
                kept[each] = known
                result[each] = known.value
        self.estimates = kept
        return result

    def _span(self, assignment: Assignment) -> float:
        settings = self.settings
        return settings.smoothing if assignment.key is None else settings.key_smoothing

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
        settings = self.settings
        mean = sum(total.values()) / sum(weights.values())
        shard_limit = mean * (1.0 + settings.hysteresis)
        key_limit = mean * (1.0 + min(settings.key_hysteresis, settings.hysteresis))
        allowance = self._allowance()
        # A server whose single assignment is above the limit cannot be relieved; the others can.
        open_servers = set(weights)
        while allowance > 0 and open_servers:
            fullest = max(sorted(open_servers), key=lambda name: total[name] / weights[name])
            used = total[fullest] / weights[fullest]
            if used <= key_limit:
                return
            emptiest = min(weights, key=lambda name: total[name] / weights[name])
            # A single key relieves a server as much as a shard of the same load, and changes the
            # owner of one key only.
            keys = [each for each in owned[fullest] if each.key is not None]
            move = self._best_move(keys, fullest, emptiest, weights, total, load)
            if move is None and used > shard_limit:
                shards = [each for each in owned[fullest] if each.key is None]
                move = self._best_move(shards, fullest, emptiest, weights, total, load)
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
