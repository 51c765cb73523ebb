"""Slopes for the capacity page: memory, processor time and bytes on the wire."""

from __future__ import annotations

import asyncio
import json
import tempfile

from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from medlarpass import ManualClock
from medlarpass.control import ControlState
from medlarpass.dispatch import HotKeySketch
from medlarpass.dispatch import SketchSettings
from medlarpass.ledger import OrderLedger
from medlarpass.ownership import Assignment
from medlarpass.ownership import Coordinator
from medlarpass.ownership import DelegationTable
from medlarpass.ownership import OwnershipView
from medlarpass.ownership import SessionTable
from medlarpass.registry import ServerRegistry
from medlarpass.replication.file_system import FileSystem
from medlarpass.replication.log_store import LogStore
from medlarpass.replication.record import Record
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb
from medlarpass.rpc import replication_pb2
from medlarpass.tables import ConfigurationTable
from tools.measure.registry import section
from tools.measure.row import Row
from tools.measure.slope import bytes_slope
from tools.measure.slope import fitted
from tools.measure.slope import microseconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message

    from tools.measure.options import Options

POOL = "stock"
TERM = 0.6
BALLOT = pb.Ballot(number=7, entry="entry-a1")
SESSIONS = (20, 200, 1000)
SHARDS = (256, 4096, 16384)
NUMBERS = (200, 600, 1200)
TIME_MS = 1_796_000_000_000
SEGMENT = 64 * 1024 * 1024
BATCH = 64


def status(number: int) -> control_pb2.ServerStatus:
    """Return the announcement of a server."""
    return control_pb2.ServerStatus(
        identity=f"stock-server-{number:04}",
        incarnation=1_796_000_000_000 + number,
        domain="a",
        ip="10.0.0.1",
        port=8000,
        pools=[POOL],
        slots=3,
        connections=100,
        checks_fences=True,
        state="ready",
    )


def coordinator_with(sessions: int, shards: int) -> tuple[Coordinator, list[str]]:
    """Return a coordinator with sessions and all shards granted to them in turns."""
    clock = ManualClock()
    coordinator = Coordinator(clock, TERM, lambda: True)
    coordinator.on_elected(None, BALLOT, needs_new_epochs=False)
    coordinator.grants.epochs_pending = False
    clock.advance(TERM * 2)
    coordinator.grants.apply_report(
        control_pb2.DomainReportResponse(
            confirmed=True,
            new_epochs=True,
            terms=[control_pb2.PoolTerm(pool=POOL, term_ms=3_600_000)],
            delegations=[
                control_pb2.ShardDelegation(pool=POOL, shard=shard, epoch=1)
                for shard in range(shards)
            ],
        ),
        clock.now(),
    )
    _commit(coordinator)
    ids = []
    for number in range(sessions):
        announced = coordinator.announce(status(number))
        assert announced is not None
        ids.append(announced[0].session_id)
    for shard in range(shards):
        server = status(shard % sessions)
        coordinator.grants.grant(Assignment(POOL, shard), server.identity, server.incarnation)
    _commit(coordinator)
    return coordinator, ids


def _commit(coordinator: Coordinator) -> None:
    record = coordinator.grants.record(BALLOT)
    coordinator.grants.commit(record.version)


def heartbeat_of(coordinator: Coordinator, ids: list[str], number: int) -> pb.HeartbeatRequest:
    """Return the heartbeat of a server that has seen its grants."""
    server = status(number)
    return pb.HeartbeatRequest(
        identity=server.identity,
        incarnation=server.incarnation,
        session=ids[number],
        state="ready",
        seen=coordinator.grants.committed.version,
        server=server,
        wait_ms=150,
    )


def table_with(routes: int, pools: int = 1) -> ConfigurationTable:
    """Return a table with routes and pools, each from a change of its own."""
    table = ConfigurationTable()
    for number in range(pools):
        table.apply(_put(control_pb2.ITEM_KIND_POOL, f"pool-{number}", {"owned": True}), TIME_MS)
    if routes:
        table.apply(_routes("routes", 0, routes), TIME_MS)
    return table


def _put(kind: control_pb2.ItemKind, name: str, document: object) -> control_pb2.ApplyChange:
    change = control_pb2.ApplyChange(change_id=f"put-{name}", author="operator", source="10.0.0.9")
    change.items.add(kind=kind, name=name, document=json.dumps(document))
    return change


def _routes(change_id: str, first: int, count: int) -> control_pb2.ApplyChange:
    change = control_pb2.ApplyChange(change_id=change_id, author="operator", source="10.0.0.9")
    for number in range(first, first + count):
        change.items.add(
            kind=control_pb2.ITEM_KIND_ROUTE, name=f"route-{number}", document=_route(number)
        )
    return change


def _route(number: int) -> str:
    return json.dumps(
        {
            "path": f"/stock-{number}/{{roll}}",
            "methods": ["GET"],
            "class": "enquiry",
            "key": {"from": "path", "name": "roll"},
            "pool": "pool-0",
        }
    )


def claim(number: int) -> control_pb2.ClaimOrder:
    """Return the claim of an order."""
    return control_pb2.ClaimOrder(
        route="orders",
        idempotency_key=f"order-{number:08}",
        body_digest=b"d" * 32,
        attempt=f"attempt-{number:024}",
        entry="entry-a1",
    )


def _delegations(number: int) -> DelegationTable:
    table = DelegationTable()
    command = control_pb2.AssignShards()
    for shard in range(number):
        command.assignments.add(pool=POOL, shard=shard, domain="a")
    table.apply(command)
    return table


def _view(coordinator: Coordinator) -> OwnershipView:
    view = OwnershipView(coordinator.clock)
    answer = coordinator.watch(pb.WatchDomainRequest(domain="a"), BALLOT)
    assert view.apply(answer, coordinator.clock.now())
    return view


def _sessions(number: int) -> SessionTable:
    table = SessionTable(ManualClock(), TERM)
    for each in range(number):
        table.announce(f"stock-server-{each:04}", 1, f"10.0.0.1:{each}", TERM)
    return table


def _registry(number: int) -> ServerRegistry:
    registry = ServerRegistry(ManualClock())
    for each in range(number):
        registry.record_heartbeat(status(each))
    return registry


def _ledger(number: int) -> OrderLedger:
    ledger = OrderLedger()
    for each in range(number):
        ledger.claim(claim(each), TIME_MS)
    return ledger


def _changes(number: int) -> ConfigurationTable:
    table = table_with(0)
    for each in range(number):
        drain = control_pb2.SetDrain(
            change_id=f"change-{each:06}",
            author="operator",
            source="10.0.0.9",
            server="stock-server-0001",
            drained=each % 2 == 0,
        )
        table.set_drain(drain, TIME_MS)
    return table


def _memory() -> list[Row]:
    coordinators = {number: coordinator_with(20, number)[0] for number in NUMBERS}
    cases: dict[str, Callable[[int], object]] = {
        "shard delegation (control)": _delegations,
        "grant (coordinator)": lambda number: coordinator_with(20, number),
        "grant (entry)": lambda number: _view(coordinators[number]),
        "server session": _sessions,
        "server presence": _registry,
        "route": lambda number: table_with(number),
        "pool": lambda number: table_with(0, number),
        "change outcome and audit record": _changes,
        "order claim": _ledger,
    }
    snapshots: dict[str, Callable[[int], bytes]] = {
        "shard delegation (snapshot)": lambda number: _delegations(number).to_bytes(),
        "route (snapshot)": lambda number: _bytes(table_with(number).snapshot()),
        "pool (snapshot)": lambda number: _bytes(table_with(0, number).snapshot()),
        "change outcome and audit record (snapshot)": lambda n: _bytes(_changes(n).snapshot()),
        "order claim (snapshot)": lambda number: _bytes(_ledger(number).snapshot()),
    }
    rows = []
    for name, build in cases.items():
        # Pools and their changes are applied one by one, which takes quadratic time.
        numbers = NUMBERS if name != "pool" else tuple(number // 10 for number in NUMBERS)
        slope, fit = bytes_slope(build, numbers)
        rows.append(Row("memory", name, {"bytes_each": slope, "fit": fit}))
    for name, make in snapshots.items():
        numbers = NUMBERS if not name.startswith("pool") else tuple(n // 10 for n in NUMBERS)
        slope, fit = fitted([(float(n), float(len(make(n)))) for n in numbers])
        rows.append(Row("memory", name, {"bytes_each": slope, "fit": fit}))
    return rows


def _bytes(message: Message) -> bytes:
    return message.SerializeToString()


def _coordinator_time(options: Options) -> list[Row]:
    budget = options.choose(0.02, 0.2)
    rows = []
    for shards in SHARDS[: int(options.choose(2, 3))]:
        points = []
        for sessions in SESSIONS:
            coordinator, ids = coordinator_with(sessions, shards)
            request = heartbeat_of(coordinator, ids, 0)

            known = pb.WatchDomainRequest(
                domain="a",
                known_version=coordinator.grants.committed.version,
                known_ballot=BALLOT,
            )
            full = pb.WatchDomainRequest(domain="a")

            def beat(
                coordinator: Coordinator = coordinator, request: pb.HeartbeatRequest = request
            ) -> None:
                coordinator.confirm_releases(request)
                coordinator.has_update(request)
                coordinator.respond_to_heartbeat(request)

            figures = {"heartbeat_us": microseconds(beat, budget, 3)}
            watch = partial(coordinator.watch, known, BALLOT)
            watch_all = partial(coordinator.watch, full, BALLOT)
            figures["watch_us"] = microseconds(watch, budget, 3)
            figures["watch_with_grants_us"] = microseconds(watch_all, budget, 1)
            figures["watch_bytes"] = len(_bytes(coordinator.watch(known, BALLOT)))
            figures["watch_with_grants_bytes"] = len(_bytes(coordinator.watch(full, BALLOT)))
            answer = coordinator.respond_to_heartbeat(request)
            figures["heartbeat_bytes"] = len(_bytes(request)) + len(_bytes(answer))
            points.append((float(sessions), figures["heartbeat_us"]))
            rows.append(Row(f"coordinator, {shards} shards", f"{sessions} sessions", figures))
        slope, fit = fitted(points)
        rows.append(Row(f"coordinator, {shards} shards", "slope", {"us_each": slope, "fit": fit}))
    return rows


def _time(options: Options) -> list[Row]:
    budget = options.choose(0.05, 0.3)
    coordinator, _ = coordinator_with(20, 4096)
    view = _view(coordinator)
    coordinator.clock.advance(0.1)  # type: ignore[attr-defined]
    sketch = HotKeySketch(SketchSettings(), ManualClock())
    keys = [f"roll-{number}" for number in range(4096)]
    position = 0

    def look_up() -> None:
        nonlocal position
        position = (position + 1) % len(keys)
        view.owner_of(POOL, keys[position], 4096)

    def count() -> None:
        nonlocal position
        position = (position + 1) % len(keys)
        sketch.add(keys[position])

    beat = replication_pb2.AppendRequest(
        term=3, leader="r" * 32, previous_index=9, previous_term=3, commit_index=9
    )
    rows = [
        Row("time", "owner lookup", {"us_each": microseconds(look_up, budget)}),
        Row("time", "sketch update", {"us_each": microseconds(count, budget)}),
        Row(
            "time",
            "raft heartbeat (message only)",
            {
                "us_each": microseconds(
                    lambda: replication_pb2.AppendRequest.FromString(_bytes(beat)), budget
                ),
                "bytes_each": len(_bytes(beat)),
            },
        ),
    ]
    points = []
    for routes in (10, 50, 100):
        taken = _change_time(routes, int(options.choose(5, 30)))
        points.append((float(routes), taken))
        rows.append(Row("time", f"change applied, {routes} routes", {"us_each": taken}))
    slope, fit = fitted(points)
    rows.append(Row("time", "change applied, one more route", {"us_each": slope, "fit": fit}))
    return rows


def _change_time(routes: int, count: int) -> float:
    state = ControlState()
    state.tables = table_with(routes)
    index = 0

    def change() -> None:
        nonlocal index
        index += 1
        command = control_pb2.Command(time_ms=TIME_MS)
        command.apply_change.change_id = f"one-{index}"
        command.apply_change.author = "operator"
        # Every change puts the first route with another deadline.
        document = json.loads(_route(0)) | {"deadline_ms": 1000 + index}
        command.apply_change.items.add(
            kind=control_pb2.ITEM_KIND_ROUTE,
            name="route-0",
            expected_version=index,
            document=json.dumps(document),
        )
        result = control_pb2.CommandResult.FromString(
            state.apply(index, command.SerializeToString())
        )
        assert result.change.status == control_pb2.CHANGE_STATUS_ACCEPTED, result

    return microseconds(change, count * 0.002)


async def _log_time(options: Options, folder: Path) -> list[Row]:
    payload = _bytes(control_pb2.Command(command_id="c" * 32, time_ms=1, claim_order=claim(1)))
    store = LogStore(folder, FileSystem(), SEGMENT)
    await store.open()
    loop = asyncio.get_running_loop()
    rounds = int(options.choose(30, 200))
    rows = []
    for name, batch in (("single", 1), ("batched by 64", BATCH)):
        begin = loop.time()
        for _ in range(rounds):
            first = store.last_index + 1
            store.append(
                [
                    Record(first + n, 1, replication_pb2.ENTRY_KIND_COMMAND, payload)
                    for n in range(batch)
                ]
            )
            await store.sync(store.last_index)
        taken = (loop.time() - begin) / rounds / batch
        figures = {"us_each": taken * 1e6, "bytes_each": store.record_at(1).size()}
        rows.append(Row("time", f"log append with fsync, {name}", figures))
    await store.close()
    return rows


def _wire() -> list[Row]:
    rows = []
    cases: dict[str, Callable[[int], Message]] = {
        "peer report, one more server": _peer_report_of_servers,
        "peer report, one more shard": _peer_report_of_shards,
        "domain report, one more grant": _domain_report,
        "heartbeat answer, one more grant": _heartbeat_answer,
    }
    for name, make in cases.items():
        points = [(float(number), float(len(_bytes(make(number))))) for number in (20, 200, 1000)]
        slope, fit = fitted(points)
        figures = {"bytes_each": slope, "fit": fit, "bytes_at_20": points[0][1]}
        rows.append(Row("wire", name, figures))
    return rows


def _peer_report_of_servers(number: int) -> Message:
    return pb.PeerReport(
        entry="entry-a1", configuration_revision=9, servers=[status(n) for n in range(number)]
    )


def _peer_report_of_shards(number: int) -> Message:
    loads = [pb.ShardLoad(pool=POOL, shard=n, requests_per_second=2.5) for n in range(number)]
    return pb.PeerReport(entry="entry-a1", configuration_revision=9, shard_loads=loads)


def _grant(number: int) -> control_pb2.GrantStatus:
    server = status(number % 20)
    return control_pb2.GrantStatus(
        pool=POOL,
        shard=number,
        server=server.identity,
        incarnation=server.incarnation,
        fence=(1 << 32) + number,
    )


def _domain_report(number: int) -> Message:
    return control_pb2.DomainReport(
        domain="a",
        coordinator="entry-a1",
        ballot=7,
        servers=[status(n) for n in range(20)],
        grants=[_grant(n) for n in range(number)],
    )


def _heartbeat_answer(number: int) -> Message:
    return pb.HeartbeatResponse(
        coordinator=True,
        term_ms=600,
        version=12,
        grants_included=True,
        grants=[_grant(n) for n in range(number)],
    )


@section("slopes", "Slopes for the capacity page", is_timed=True)
def run(options: Options) -> list[Row]:
    """Measure all slopes in this process."""
    with tempfile.TemporaryDirectory(prefix="medlarpass-measure-") as folder:
        log = asyncio.run(_log_time(options, Path(folder)))
    return [*_memory(), *_coordinator_time(options), *_time(options), *log, *_wire()]
