"""Limits of cold and overloaded servers from the leader to the decisions of all entries."""

from __future__ import annotations

import math
import random

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass.fleet import ServerHeartbeat
from medlarpass.publication import Publication
from medlarpass.ranges import KEY_COUNT
from medlarpass.ranges import KeyLoads
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.fleet_feed import WatchCursor
from medlarpass_daemon.control.fleet.range_keeper import RangeKeeper
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import ServerColdError
from medlarpass_daemon.entry.callers.exceptions import ServerOverloadedError
from medlarpass_daemon.entry.callers.server_thinning import ServerThinning
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.fleet_servers import FleetServers
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge

if TYPE_CHECKING:
    from medlarpass_daemon.control.fleet.fleet_state import FleetState

STEP_SECONDS = 0.1
STEPS_PER_SECOND = 10
#: Steps until an update reaches an entry, and until a report reaches the leader.
UPDATE_STEPS = 3
REPORT_STEPS = 5
SERVER_COUNT = 10
WARMUP_RATE = 4.0
LIMIT_PER_SECOND = WARMUP_RATE * 1.5 + 8
#: Usual requests per second of the pool: sixteen for each server.
DEMAND = 160.0
RETRY_RATIO = 0.2
#: Requests per second that a warm server completes, its slots, and the most that it holds.
CAPACITY = 12.0
MAX_HELD_COUNT = 15
HOT_KEY = 30_000
OWNED_POOL = "stock"
OPEN_POOL = "open"


def publish(simulation: Any) -> Publication:
    """Put a publication in force whose pools limit cold servers."""
    pools = [
        {"name": name, "owned": owned, "connections": 100, "warmup_rate": WARMUP_RATE}
        for name, owned in ((OWNED_POOL, True), (OPEN_POOL, False))
    ]
    document = {"version": 2, "key_header": "Key", "routes": [], "pools": pools, "limits": {}}
    publication = Publication.from_document(document)
    simulation.state.publication = control_pb2.Publish(version=2, document=publication.to_json())
    return publication


class SimulatedEntry:
    """The view of one entry, which gets the updates of the leader late."""

    def __init__(self, publication: Publication, loads: KeyLoads, clock: Any, seed: int) -> None:
        routing = FleetRouting(PublicationAge(clock, 2.0))
        routing.publication, routing.pools = publication, publication.pools
        self.servers = FleetServers(routing, loads, clock)
        self.rng = random.Random(seed)
        self.thinning = ServerThinning(clock, self.rng)
        self.cursor = WatchCursor(publication.version)
        self.updates: deque[tuple[int, fleet_pb2.FleetUpdate]] = deque()
        #: Step from which the entry gets no updates.
        self.cut_off_at = math.inf

    def follow(self, fleet: FleetState, step: int) -> None:
        """Fetch what is new and apply what has arrived."""
        if step < self.cut_off_at:
            self.updates.append((step + UPDATE_STEPS, fleet.feed.update_for(self.cursor)))
        while self.updates and self.updates[0][0] <= step:
            self.servers.apply(self.updates.popleft()[1])

    def send(self, pool: Any, hot_share: float) -> str | None:
        """Return the server that gets an attempt; None if it is refused."""
        try:
            if pool.owned:
                is_hot = self.rng.random() < hot_share
                key = HOT_KEY if is_hot else self.rng.randrange(KEY_COUNT)
                owner = self.servers.owner_of(pool, str(key))
                self.thinning.check_owner(owner, self.servers.view_age())
                return owner.identity
            targets = self.thinning.admitted_targets(
                self.servers.available_servers(pool.name), self.thinning.draw(), lambda _: True
            )
            return self.rng.choice(targets).identity if targets else None
        except (NoOwnerError, ServerColdError, ServerOverloadedError):
            return None


class ColdFleet:
    """A leader with its servers and many entries, with Poisson demand for one pool."""

    def __init__(self, simulation: Any, pool: str, entry_count: int, seed: int) -> None:
        self.simulation = simulation
        self.publication = publish(simulation)
        self.pool = self.publication.pools[pool]
        self.rng = random.Random(seed)
        self.loads = KeyLoads()
        self.entries = [self.new_entry() for _ in range(entry_count)]
        self.reports: deque[tuple[int, fleet_pb2.EntryReport]] = deque()
        self.step_number = 0
        self.demand = DEMAND
        #: Share of the requests that is for one key.
        self.hot_share = 0.0
        #: Requests that each server holds, and those that it has rejected.
        self.held: dict[str, float] = {}
        self.rejected = 0
        self.sequence = 0
        #: Attempts by server in each step.
        self.sent: list[dict[str, int]] = []
        #: Clock readings until which the servers of the pool are cold.
        self.cold_until = dict.fromkeys(simulation.servers, 0.0)

    def new_entry(self) -> SimulatedEntry:
        clock = self.simulation.clock
        return SimulatedEntry(self.publication, self.loads, clock, self.rng.randrange(1 << 30))

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds * STEPS_PER_SECOND)):
            await self.step()

    async def step(self) -> None:
        simulation = self.simulation
        self.step_number += 1
        self._heartbeat()
        await simulation.step()
        fleet = simulation.fleet
        if self.step_number % 5 == 0:
            for loads in fleet.loads.values():
                loads.apply_decay()
            fleet.limits.apply_decay()
            fleet.capacity.apply_decay()
        fleet.update_feed([], fleet_pb2.FleetSource(address="control"))
        for entry in self.entries:
            entry.follow(fleet, self.step_number)
        self._send_requests()
        self._report()

    def _heartbeat(self) -> None:
        now = self.simulation.clock.now()
        self.sequence += 1
        for name, server in self.simulation.servers.items():
            remaining = max(self.cold_until[name] - now, 0.0)
            if self.pool.owned:
                server.warmup_seconds = remaining
                continue
            port = 1000 + int(name[1:])
            heartbeat = ServerHeartbeat(
                f"o{name}", 1, self.sequence, OPEN_POOL, "10.0.0.2", port, "d", 3, False, remaining
            )
            self.simulation.receive(heartbeat)

    def _send_requests(self) -> None:
        sent: dict[str, int] = {}
        mean = self.demand * STEP_SECONDS
        # Exponential gaps between requests.
        position = self.rng.expovariate(mean)
        report = fleet_pb2.EntryReport()
        requests = 0
        while position < 1.0:
            position += self.rng.expovariate(mean)
            requests += 1
            entry = self.rng.choice(self.entries)
            while True:
                server = entry.send(self.pool, self.hot_share)
                if server is not None:
                    sent[server] = sent.get(server, 0) + 1
                if server is None or self.rng.random() >= RETRY_RATIO:
                    break
        self.sent.append(sent)
        self._respond(sent, report)
        if not self.pool.owned:
            report.demands.add(pool=self.pool.name, requests=requests)
        self.reports.append((self.step_number + REPORT_STEPS, report))

    def _respond(self, sent: dict[str, int], report: fleet_pb2.EntryReport) -> None:
        """Let the servers work, and add their response times to a report."""
        for name in {*sent, *self.held}:
            held = self.held.get(name, 0.0) + sent.get(name, 0)
            self.rejected += max(round(held - MAX_HELD_COUNT), 0)
            held = min(held, MAX_HELD_COUNT)
            done = min(held, CAPACITY * STEP_SECONDS)
            self.held[name] = held - done
            answers = int(done + self.rng.random())
            # Three slots work for a quarter of a second, and the rest of the requests queues.
            milliseconds = 250 + max(held - 3, 0) * 1000 / CAPACITY
            report.times.add(
                identity=name, answers=answers, milliseconds=round(answers * milliseconds)
            )

    def _report(self) -> None:
        report = self.reports[-1][1]
        report.loads.extend(self.loads.pop_counts())
        fleet = self.simulation.fleet
        while self.reports[0][0] <= self.step_number:
            due = self.reports.popleft()[1]
            fleet.limits.add_report(due)
            for load in due.loads:
                fleet.loads_of(load.pool).add(load.keys, load.requests)
            for time in due.times:
                fleet.capacity.add(time.identity, time.answers, time.milliseconds / 1000)

    def busiest_second(self, server: str, begin: int, end: int) -> int:
        """Return the most attempts at a server in any second between two steps."""
        counts = [sent.get(server, 0) for sent in self.sent[begin:end]]
        return max(
            sum(counts[index : index + STEPS_PER_SECOND])
            for index in range(len(counts) - STEPS_PER_SECOND + 1)
        )


@pytest.mark.parametrize(
    ("pool", "moves_keys"),
    [(OWNED_POOL, True), (OWNED_POOL, False), (OPEN_POOL, True)],
    ids=["owned", "owned and stuck", "open"],
)
@pytest.mark.parametrize("entry_count", [1, 75, 300])
async def test_all_entries_together_stay_within_the_rate_of_a_cold_server(
    new_simulation: Any,
    monkeypatch: pytest.MonkeyPatch,
    pool: str,
    moves_keys: bool,
    entry_count: int,
) -> None:
    """Guards against a cold server that gets more than 1.5 times its rate and 8 in a second.

    The demand of 160 requests a second grows by a half and doubles, entries start while the server
    is cold, and a tenth of them is cut off. The keys of the server move away, or stay because they
    can't be released.
    """
    if not moves_keys:
        monkeypatch.setattr(
            RangeKeeper, "_limit_cold", lambda self, pool, servers, weights: weights
        )
    fleet = ColdFleet(new_simulation(SERVER_COUNT, seed=entry_count), pool, entry_count, 7)
    await fleet.run(8.0)
    name = "s3" if fleet.pool.owned else "os3"
    begin = fleet.step_number + STEPS_PER_SECOND
    fleet.cold_until["s3"] = fleet.simulation.clock.now() + 25.0
    await fleet.run(3.0)
    fleet.entries.extend(fleet.new_entry() for _ in range(entry_count // 4 + 1))
    for entry in fleet.entries[: entry_count // 10]:
        entry.cut_off_at = fleet.step_number
    await fleet.run(5.0)
    for demand, seconds in ((1.5, 5.0), (0.5, 5.0), (2.0, 5.0), (1.0, 3.0)):
        fleet.demand = DEMAND * demand
        await fleet.run(seconds)
    end = begin + 24 * STEPS_PER_SECOND
    busiest = fleet.busiest_second(name, begin, end)
    total = sum(sent.get(name, 0) for sent in fleet.sent[begin:end])
    assert busiest <= LIMIT_PER_SECOND, (busiest, total)
    assert total > 0.2 * WARMUP_RATE * 24


async def test_a_new_cold_server_gets_no_keys_before_it_is_warm(new_simulation: Any) -> None:
    """Guards against a key that becomes hot at a cold server before entries know its limit."""
    simulation = new_simulation(SERVER_COUNT)
    fleet = ColdFleet(simulation, OWNED_POOL, 75, 37)
    simulation.servers["s3"].is_up = False
    fleet.cold_until["s3"] = simulation.clock.now() + 12.0
    await fleet.run(8.0)
    assert not owned_key_count(fleet, "s3")
    simulation.servers["s3"].is_up = True
    await fleet.run(3.0)
    assert not owned_key_count(fleet, "s3")
    await fleet.run(4.0)
    assert owned_key_count(fleet, "s3")


def owned_key_count(fleet: ColdFleet, server: str) -> int:
    """Return the number of keys that a server owns."""
    assigned = fleet.simulation.state.ranges.pools[OWNED_POOL]
    return sum(own.last - own.first + 1 for own in assigned if own.identity == server)


async def test_when_all_servers_are_cold_the_rest_is_refused(new_simulation: Any) -> None:
    """Guards against a pool that crashes as a whole after its servers restarted together."""
    fleet = ColdFleet(new_simulation(SERVER_COUNT), OPEN_POOL, 75, 11)
    await fleet.run(5.0)
    fleet.cold_until = dict.fromkeys(fleet.cold_until, fleet.simulation.clock.now() + 15.0)
    begin = fleet.step_number + STEPS_PER_SECOND
    await fleet.run(12.0)
    for name in fleet.cold_until:
        assert fleet.busiest_second(f"o{name}", begin, fleet.step_number) <= LIMIT_PER_SECOND
    attempts = sum(sum(sent.values()) for sent in fleet.sent[begin:]) / 11
    assert 0.5 * WARMUP_RATE * SERVER_COUNT < attempts < WARMUP_RATE * SERVER_COUNT


async def test_the_limit_outlives_its_leader(new_simulation: Any) -> None:
    """Guards against full load for a cold server until a new leader knows the demand."""
    simulation = new_simulation(SERVER_COUNT)
    fleet = ColdFleet(simulation, OWNED_POOL, 75, 13)
    await fleet.run(6.0)
    fleet.cold_until["s3"] = simulation.clock.now() + 20.0
    await fleet.run(3.0)
    for server in simulation.servers.values():
        await simulation.log.propose(
            control_pb2.Command(record_server=server.heartbeat().to_record())
        )
    begin = fleet.step_number
    followed = simulation.fleet.feed
    simulation.change_leader()
    # The new leader has relayed what the previous one sent.
    simulation.fleet.feed.set_servers(followed.servers.items.values())
    simulation.keeper.start_term()
    simulation.keeper.lease.expires_at = math.inf
    assert simulation.fleet.directory.members["s3"].cold.is_cold
    assert simulation.fleet.limits.share_of("s3") > 0
    for entry in fleet.entries:
        entry.cursor = WatchCursor(fleet.publication.version)
    await fleet.run(6.0)
    assert fleet.busiest_second("s3", begin, fleet.step_number) <= LIMIT_PER_SECOND


async def test_a_cold_server_is_sent_once_and_not_at_each_heartbeat(new_simulation: Any) -> None:
    """Guards against a message to all entries for each heartbeat of a cold server."""
    simulation = new_simulation(SERVER_COUNT)
    fleet = ColdFleet(simulation, OPEN_POOL, 1, 17)
    fleet.demand = 1.0
    await fleet.run(3.0)
    fleet.cold_until["s3"] = simulation.clock.now() + 5.0
    versions = {simulation.fleet.feed.servers.version}
    for _ in range(70):
        await fleet.step()
        versions.add(simulation.fleet.feed.servers.version)
    # Cold with its share, and warm.
    assert len(versions) == 3
    assert not simulation.fleet.feed.servers.items["os3"].cold_ms


async def test_a_late_entry_counts_a_longer_cold_time(new_simulation: Any) -> None:
    """Guards against an entry that counts a server as warm while the others count it as cold."""
    simulation = new_simulation(SERVER_COUNT)
    fleet = ColdFleet(simulation, OWNED_POOL, 1, 19)
    await fleet.run(3.0)
    cold_until = simulation.clock.now() + 8.0
    fleet.cold_until["s3"] = cold_until
    await fleet.run(4.0)
    fleet.entries.append(fleet.new_entry())
    await fleet.run(1.0)
    first, late = (entry.servers.cold_until["s3"] for entry in fleet.entries)
    assert cold_until <= first < late
    await fleet.run(5.0)
    assert not any(entry.servers.cold_until for entry in fleet.entries)


async def rejections_with_a_hot_key(fleet: ColdFleet, limits_overload: bool) -> int:
    """Return the rejections of servers in 4 s, after a key has had 40% of the requests for 4 s."""
    simulation = fleet.simulation
    simulation.keeper.settings.capacity_planning = limits_overload
    simulation.fleet.limits.limits_overload = limits_overload
    fleet.demand = 6.0 * SERVER_COUNT
    await fleet.run(15.0)
    fleet.hot_share = 0.4
    await fleet.run(4.0)
    before = fleet.rejected
    await fleet.run(4.0)
    return fleet.rejected - before


def owner_of_hot_key(fleet: ColdFleet) -> str:
    """Return the identity of the server that owns the hot key."""
    (owner,) = [
        own.identity
        for own in fleet.simulation.state.ranges.pools[OWNED_POOL]
        if own.first <= HOT_KEY <= own.last
    ]
    return str(owner)


@pytest.mark.parametrize("entry_count", [1, 75, 300])
async def test_the_owner_of_a_hot_key_gets_what_it_can_handle(
    new_simulation: Any, entry_count: int
) -> None:
    """Guards against rejections by the owner of a key that gets 40% of a pool's requests."""
    unlimited = ColdFleet(new_simulation(SERVER_COUNT), OWNED_POOL, entry_count, 23)
    assert await rejections_with_a_hot_key(unlimited, False) > 40
    limited = ColdFleet(new_simulation(SERVER_COUNT), OWNED_POOL, entry_count, 23)
    rejected = await rejections_with_a_hot_key(limited, True)
    assert rejected < 20
    attempts = 0
    for _ in range(10 * STEPS_PER_SECOND):
        # The key may move to a faster server meanwhile.
        owner = owner_of_hot_key(limited)
        await limited.step()
        attempts += limited.sent[-1].get(owner, 0)
    assert 0.6 * CAPACITY < attempts / 10 < 1.3 * CAPACITY


@pytest.mark.parametrize("entry_count", [1, 75, 300])
async def test_the_limit_of_an_owner_ends_after_its_key_was_hot(
    new_simulation: Any, entry_count: int
) -> None:
    """Guards against refusals that outlast a key which was hot for 8 s by 5 s."""
    fleet = ColdFleet(new_simulation(SERVER_COUNT), OWNED_POOL, entry_count, 23)
    await rejections_with_a_hot_key(fleet, True)
    owner = owner_of_hot_key(fleet)
    fleet.hot_share = 0.0
    await fleet.run(5.0)
    assert owner not in fleet.simulation.fleet.limits.admission.sent


async def test_without_the_setting_no_warm_server_is_limited(new_simulation: Any) -> None:
    """Guards against refusals in deployments that do not ask for them."""
    fleet = ColdFleet(new_simulation(SERVER_COUNT), OWNED_POOL, 5, 29)
    fleet.hot_share = 0.4
    await fleet.run(8.0)
    assert not any(server.admitted for server in fleet.simulation.fleet.feed.servers.items.values())
