"""Distributes assignments over the servers of a domain by slots and measured load."""

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

    :param hysteresis: utilisation above the mean up to which nothing is moved, as a fraction of the
        mean; keeps the imbalance below the permitted ratio of 1.15
    :param moves_per_minute: limit of moves for balance; a draining server is emptied without limit
    :param ramp_seconds: time in which the weight of a new server grows to its slots, to cover its
        cold start
    :param initial_weight_ratio: fraction of its slots that a new server starts with
    :param smoothing_seconds: averaging time for shards; the entries' rates of shards with little
        traffic vary so much that following them moves most keys every minute
    :param key_smoothing_seconds: averaging time for isolated keys, whose load is higher and changes
        faster
    :param key_hysteresis: like ``hysteresis``, for moves of isolated keys, which change the owner
        of only one key
    """

    __slots__ = (
        "hysteresis",
        "initial_weight_ratio",
        "key_hysteresis",
        "key_smoothing_seconds",
        "moves_per_minute",
        "ramp_seconds",
        "smoothing_seconds",
    )

    def __init__(
        self,
        hysteresis: float = 0.08,
        moves_per_minute: int = 60,
        ramp_seconds: float = 10.0,
        initial_weight_ratio: float = 0.25,
        smoothing_seconds: float = 60.0,
        key_smoothing_seconds: float = 5.0,
        key_hysteresis: float = 0.03,
    ) -> None:
        self.hysteresis = hysteresis
        self.moves_per_minute = moves_per_minute
        self.ramp_seconds = ramp_seconds
        self.initial_weight_ratio = initial_weight_ratio
        self.smoothing_seconds = smoothing_seconds
        self.key_smoothing_seconds = key_smoothing_seconds
        self.key_hysteresis = key_hysteresis


class Candidate(Value):
    """A server that may own assignments.

    :param server: identity of the server
    :param slots: number of requests that it runs concurrently
    :param draining: whether all of its assignments have to be moved to other servers
    """

    __slots__ = ("draining", "server", "slots")

    def __init__(self, server: str, slots: int, draining: bool = False) -> None:
        self.server = server
        self.slots = slots
        self.draining = draining


class LoadEstimate:
    """Running average of a load.

    :param value: average in the unit of the load
    :param measured_at: time of the first measurement, in seconds
    """

    __slots__ = ("first_measured_at", "measured_at", "value")

    def __init__(self, value: float, measured_at: float) -> None:
        self.value = value
        self.measured_at = measured_at
        self.first_measured_at = measured_at

    def add(self, load: float, now: float, smoothing: float) -> None:
        """Add a measurement to the average.

        :param load: measured load
        :param now: time of the measurement, in seconds
        :param smoothing: averaging time in seconds. Limited to the time since the first
            measurement, so that the first one does not weigh more than others.
        """
        span = min(smoothing, now - self.first_measured_at)
        weight = min(1.0, (now - self.measured_at) / span) if span > 0 else 1.0
        self.value += weight * (load - self.value)
        self.measured_at = now


class Placement:
    """Decides which server owns each assignment, with as few moves as the limits allow.

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

        :param owners: current owner of each assignment, or ``None``
        :param candidates: servers of the pool with a session
        :param loads: measured load, for example requests per second; an assignment without a
            measurement is assumed to have the mean load
        """
        weights = self._weights(candidates)
        if not weights:
            return {}
        estimated_loads = _with_default_loads(owners, self._estimate(owners, loads))
        server_loads = dict.fromkeys(weights, 0.0)
        owned: dict[str, list[Assignment]] = {server: [] for server in weights}
        unowned: list[Assignment] = []
        for assignment, owner in owners.items():
            if owner is None or owner not in weights:
                unowned.append(assignment)
                continue
            server_loads[owner] += estimated_loads[assignment]
            owned[owner].append(assignment)
        plan: dict[Assignment, str] = {}
        # Largest loads first, because small ones fit best into the remaining capacity.
        for assignment in sorted(unowned, key=lambda item: (-estimated_loads[item], item)):
            server = min(
                weights,
                key=lambda name: (server_loads[name] + estimated_loads[assignment]) / weights[name],
            )
            plan[assignment] = server
            server_loads[server] += estimated_loads[assignment]
        self._balance(plan, weights, server_loads, owned, estimated_loads)
        return plan

    def _weights(self, candidates: Iterable[Candidate]) -> dict[str, float]:
        now = self.clock.now()
        servers = list(candidates)
        has_earlier_plan = bool(self.first_seen)
        for candidate in servers:
            # Servers that exist at the first plan are assumed to be warmed up.
            self.first_seen.setdefault(
                candidate.server, now if has_earlier_plan else now - self.settings.ramp_seconds
            )
        names = {candidate.server for candidate in servers}
        self.first_seen = {
            name: first_seen for name, first_seen in self.first_seen.items() if name in names
        }
        return {
            candidate.server: candidate.slots
            * self._warmup_ratio(now - self.first_seen[candidate.server])
            for candidate in sorted(servers, key=lambda candidate: candidate.server)
            if not candidate.draining and candidate.slots > 0
        }

    def _estimate(
        self, owners: Iterable[Assignment], loads: Mapping[Assignment, float]
    ) -> dict[Assignment, float]:
        now = self.clock.now()
        kept: dict[Assignment, LoadEstimate] = {}
        result: dict[Assignment, float] = {}
        for assignment in owners:
            estimate = self.estimates.get(assignment)
            if estimate is None and assignment in loads:
                estimate = LoadEstimate(loads[assignment], now)
            elif estimate is not None and assignment in loads:
                estimate.add(loads[assignment], now, self._smoothing_of(assignment))
            if estimate is not None:
                kept[assignment] = estimate
                result[assignment] = estimate.value
        self.estimates = kept
        return result

    def _smoothing_of(self, assignment: Assignment) -> float:
        settings = self.settings
        return (
            settings.smoothing_seconds if assignment.key is None else settings.key_smoothing_seconds
        )

    def _warmup_ratio(self, age: float) -> float:
        settings = self.settings
        if settings.ramp_seconds <= 0:
            return 1.0
        elapsed_ratio = min(1.0, max(0.0, age / settings.ramp_seconds))
        return settings.initial_weight_ratio + (1.0 - settings.initial_weight_ratio) * elapsed_ratio

    def _moves_left(self) -> int:
        since = self.clock.now() - SECONDS_PER_MINUTE
        self.moved_at = [moved_at for moved_at in self.moved_at if moved_at > since]
        return self.settings.moves_per_minute - len(self.moved_at)

    def _balance(
        self,
        plan: dict[Assignment, str],
        weights: Mapping[str, float],
        server_loads: dict[str, float],
        owned: Mapping[str, list[Assignment]],
        estimated_loads: Mapping[Assignment, float],
    ) -> None:
        settings = self.settings
        mean = sum(server_loads.values()) / sum(weights.values())
        shard_limit = mean * (1.0 + settings.hysteresis)
        key_limit = mean * (1.0 + min(settings.key_hysteresis, settings.hysteresis))
        moves_left = self._moves_left()
        # A server with a single assignment above the limit cannot be relieved, but others can.
        relievable_servers = set(weights)
        while moves_left > 0 and relievable_servers:
            most_loaded = max(
                sorted(relievable_servers), key=lambda name: server_loads[name] / weights[name]
            )
            utilisation = server_loads[most_loaded] / weights[most_loaded]
            if utilisation <= key_limit:
                return
            least_loaded = min(weights, key=lambda name: server_loads[name] / weights[name])
            # Moving a key relieves a server as much as moving a shard of the same load, but changes
            # the owner of only one key.
            keys = [assignment for assignment in owned[most_loaded] if assignment.key is not None]
            move = self._best_move(
                keys, most_loaded, least_loaded, weights, server_loads, estimated_loads
            )
            if move is None and utilisation > shard_limit:
                shards = [assignment for assignment in owned[most_loaded] if assignment.key is None]
                move = self._best_move(
                    shards, most_loaded, least_loaded, weights, server_loads, estimated_loads
                )
            if move is None:
                relievable_servers.discard(most_loaded)
                continue
            owned[most_loaded].remove(move)
            plan[move] = least_loaded
            server_loads[most_loaded] -= estimated_loads[move]
            server_loads[least_loaded] += estimated_loads[move]
            self.moved_at.append(self.clock.now())
            moves_left -= 1

    def _best_move(
        self,
        owned: Iterable[Assignment],
        source: str,
        target: str,
        weights: Mapping[str, float],
        server_loads: Mapping[str, float],
        estimated_loads: Mapping[Assignment, float],
    ) -> Assignment | None:
        best: Assignment | None = None
        lowest_utilisation = server_loads[source] / weights[source]
        for assignment in owned:
            resulting_utilisation = max(
                (server_loads[source] - estimated_loads[assignment]) / weights[source],
                (server_loads[target] + estimated_loads[assignment]) / weights[target],
            )
            if resulting_utilisation < lowest_utilisation:
                best, lowest_utilisation = assignment, resulting_utilisation
        return best


def _with_default_loads(
    owners: Iterable[Assignment], loads: Mapping[Assignment, float]
) -> dict[Assignment, float]:
    measured_loads = [load for load in loads.values() if load > 0]
    mean = sum(measured_loads) / len(measured_loads) if measured_loads else 1.0
    return {assignment: loads.get(assignment, mean) for assignment in owners}
