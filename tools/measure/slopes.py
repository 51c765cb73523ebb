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
from tools.measure.slope import fit_line
from tools.measure.slope import median_microseconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from google.protobuf.message import Message

    from tools.measure.options import Options

POOL = "stock"
SESSION_TERM_SECONDS = 0.6
BALLOT = pb.Ballot(number=7, entry="entry-a1")
SESSION_COUNTS = (20, 200, 1000)
SHARD_COUNTS = (256, 4096, 16384)
ELEMENT_COUNTS = (200, 600, 1200)
TIME_MS = 1_796_000_000_000
SEGMENT_BYTES = 64 * 1024 * 1024
BATCH_ENTRY_COUNT = 64


def server_status(number: int) -> control_pb2.ServerStatus:
    """Return the status message of a server."""
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


def build_coordinator(sessions: int, shards: int) -> tuple[Coordinator, list[str]]:
    """Return a coordinator and its session IDs, with all shards granted round robin."""
    clock = ManualClock()
    coordinator = Coordinator(clock, SESSION_TERM_SECONDS, lambda: True)
    coordinator.on_elected(None, BALLOT, needs_new_epochs=False)
    coordinator.grants.epochs_pending = False
    clock.advance(SESSION_TERM_SECONDS * 2)
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
    session_ids = []
    for number in range(sessions):
        announcement = coordinator.announce(server_status(number))
        assert announcement is not None
        session_ids.append(announcement[0].session_id)
    for shard in range(shards):
        server = server_status(shard % sessions)
        coordinator.grants.grant(Assignment(POOL, shard), server.identity, server.incarnation)
    _commit(coordinator)
    return coordinator, session_ids


def _commit(coordinator: Coordinator) -> None:
    record = coordinator.grants.record(BALLOT)
    coordinator.grants.commit(record.version)


def build_heartbeat(
    coordinator: Coordinator, session_ids: list[str], number: int
) -> pb.HeartbeatRequest:
    """Return the heartbeat of a server that has already received its grants."""
    server = server_status(number)
    return pb.HeartbeatRequest(
        identity=server.identity,
        incarnation=server.incarnation,
        session=session_ids[number],
        state="ready",
        seen=coordinator.grants.committed.version,
        server=server,
        wait_ms=150,
    )


def build_table(routes: int, pools: int = 1) -> ConfigurationTable:
    """Return a table with pools, each added by its own change, and routes."""
    table = ConfigurationTable()
    for number in range(pools):
        table.apply(
            _single_item_change(control_pb2.ITEM_KIND_POOL, f"pool-{number}", {"owned": True}),
            TIME_MS,
        )
    if routes:
        table.apply(_route_change("routes", 0, routes), TIME_MS)
    return table


def _single_item_change(
    kind: control_pb2.ItemKind, name: str, document: object
) -> control_pb2.ApplyChange:
    change = control_pb2.ApplyChange(change_id=f"put-{name}", author="operator", source="10.0.0.9")
    change.items.add(kind=kind, name=name, document=json.dumps(document))
    return change


def _route_change(change_id: str, first: int, count: int) -> control_pb2.ApplyChange:
    change = control_pb2.ApplyChange(change_id=change_id, author="operator", source="10.0.0.9")
    for number in range(first, first + count):
        change.items.add(
            kind=control_pb2.ITEM_KIND_ROUTE,
            name=f"route-{number}",
            document=_route_document(number),
        )
    return change


def _route_document(number: int) -> str:
    return json.dumps(
        {
            "path": f"/stock-{number}/{{roll}}",
            "methods": ["GET"],
            "class": "enquiry",
            "key": {"from": "path", "name": "roll"},
            "pool": "pool-0",
        }
    )


def claim_command(number: int) -> control_pb2.ClaimOrder:
    """Return the command that claims an order."""
    return control_pb2.ClaimOrder(
        route="orders",
        idempotency_key=f"order-{number:08}",
        body_digest=b"d" * 32,
        attempt=f"attempt-{number:024}",
        entry="entry-a1",
    )


def _delegation_table(number: int) -> DelegationTable:
    table = DelegationTable()
    command = control_pb2.AssignShards()
    for shard in range(number):
        command.assignments.add(pool=POOL, shard=shard, domain="a")
    table.apply(command)
    return table


def _ownership_view(coordinator: Coordinator) -> OwnershipView:
    view = OwnershipView(coordinator.clock)
    response = coordinator.watch(pb.WatchDomainRequest(domain="a"), BALLOT)
    assert view.apply(response, coordinator.clock.now())
    return view


def _session_table(number: int) -> SessionTable:
    table = SessionTable(ManualClock(), SESSION_TERM_SECONDS)
    for index in range(number):
        table.announce(f"stock-server-{index:04}", 1, f"10.0.0.1:{index}", SESSION_TERM_SECONDS)
    return table


def _server_registry(number: int) -> ServerRegistry:
    registry = ServerRegistry(ManualClock())
    for index in range(number):
        registry.record_heartbeat(server_status(index))
    return registry


def _order_ledger(number: int) -> OrderLedger:
    ledger = OrderLedger()
    for index in range(number):
        ledger.claim(claim_command(index), TIME_MS)
    return ledger


def _table_with_changes(number: int) -> ConfigurationTable:
    table = build_table(0)
    for index in range(number):
        drain = control_pb2.SetDrain(
            change_id=f"change-{index:06}",
            author="operator",
            source="10.0.0.9",
            server="stock-server-0001",
            drained=index % 2 == 0,
        )
        table.set_drain(drain, TIME_MS)
    return table


def _memory_slopes() -> list[Row]:
    coordinators = {number: build_coordinator(20, number)[0] for number in ELEMENT_COUNTS}
    cases: dict[str, Callable[[int], object]] = {
        "shard delegation (control)": _delegation_table,
        "grant (coordinator)": lambda number: build_coordinator(20, number),
        "grant (entry)": lambda number: _ownership_view(coordinators[number]),
        "server session": _session_table,
        "server presence": _server_registry,
        "route": lambda number: build_table(number),
        "pool": lambda number: build_table(0, number),
        "change outcome and audit record": _table_with_changes,
        "order claim": _order_ledger,
    }
    snapshots: dict[str, Callable[[int], bytes]] = {
        "shard delegation (snapshot)": lambda number: _delegation_table(number).to_bytes(),
        "route (snapshot)": lambda number: _serialize(build_table(number).snapshot()),
        "pool (snapshot)": lambda number: _serialize(build_table(0, number).snapshot()),
        "change outcome and audit record (snapshot)": lambda n: _serialize(
            _table_with_changes(n).snapshot()
        ),
        "order claim (snapshot)": lambda number: _serialize(_order_ledger(number).snapshot()),
    }
    rows = []
    for name, build in cases.items():
        # Pools are added by one change each, which takes quadratic time.
        numbers = (
            ELEMENT_COUNTS if name != "pool" else tuple(number // 10 for number in ELEMENT_COUNTS)
        )
        slope, fit = bytes_slope(build, numbers)
        rows.append(Row("memory", name, {"bytes_each": slope, "fit": fit}))
    for name, build_snapshot in snapshots.items():
        numbers = (
            ELEMENT_COUNTS
            if not name.startswith("pool")
            else tuple(n // 10 for n in ELEMENT_COUNTS)
        )
        slope, fit = fit_line([(float(n), float(len(build_snapshot(n)))) for n in numbers])
        rows.append(Row("memory", name, {"bytes_each": slope, "fit": fit}))
    return rows


def _serialize(message: Message) -> bytes:
    return message.SerializeToString()


def _coordinator_costs(options: Options) -> list[Row]:
    budget_seconds = options.choose(0.02, 0.2)
    rows = []
    for shards in SHARD_COUNTS[: int(options.choose(2, 3))]:
        points = []
        for sessions in SESSION_COUNTS:
            coordinator, session_ids = build_coordinator(sessions, shards)
            request = build_heartbeat(coordinator, session_ids, 0)

            known_request = pb.WatchDomainRequest(
                domain="a",
                known_version=coordinator.grants.committed.version,
                known_ballot=BALLOT,
            )
            full_request = pb.WatchDomainRequest(domain="a")

            def handle_heartbeat(
                coordinator: Coordinator = coordinator, request: pb.HeartbeatRequest = request
            ) -> None:
                coordinator.confirm_releases(request)
                coordinator.has_update(request)
                coordinator.respond_to_heartbeat(request)

            figures = {"heartbeat_us": median_microseconds(handle_heartbeat, budget_seconds, 3)}
            watch = partial(coordinator.watch, known_request, BALLOT)
            watch_all = partial(coordinator.watch, full_request, BALLOT)
            figures["watch_us"] = median_microseconds(watch, budget_seconds, 3)
            figures["watch_with_grants_us"] = median_microseconds(watch_all, budget_seconds, 1)
            figures["watch_bytes"] = len(_serialize(coordinator.watch(known_request, BALLOT)))
            figures["watch_with_grants_bytes"] = len(
                _serialize(coordinator.watch(full_request, BALLOT))
            )
            response = coordinator.respond_to_heartbeat(request)
            figures["heartbeat_bytes"] = len(_serialize(request)) + len(_serialize(response))
            points.append((float(sessions), figures["heartbeat_us"]))
            rows.append(Row(f"coordinator, {shards} shards", f"{sessions} sessions", figures))
        slope, fit = fit_line(points)
        rows.append(Row(f"coordinator, {shards} shards", "slope", {"us_each": slope, "fit": fit}))
    return rows


def _processor_time(options: Options) -> list[Row]:
    budget_seconds = options.choose(0.05, 0.3)
    coordinator, _ = build_coordinator(20, 4096)
    view = _ownership_view(coordinator)
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

    raft_heartbeat = replication_pb2.AppendRequest(
        term=3, leader="r" * 32, previous_index=9, previous_term=3, commit_index=9
    )
    rows = [
        Row("time", "owner lookup", {"us_each": median_microseconds(look_up, budget_seconds)}),
        Row("time", "sketch update", {"us_each": median_microseconds(count, budget_seconds)}),
        Row(
            "time",
            "raft heartbeat (message only)",
            {
                "us_each": median_microseconds(
                    lambda: replication_pb2.AppendRequest.FromString(_serialize(raft_heartbeat)),
                    budget_seconds,
                ),
                "bytes_each": len(_serialize(raft_heartbeat)),
            },
        ),
    ]
    points = []
    for routes in (10, 50, 100):
        duration = _change_microseconds(routes, int(options.choose(5, 30)))
        points.append((float(routes), duration))
        rows.append(Row("time", f"change applied, {routes} routes", {"us_each": duration}))
    slope, fit = fit_line(points)
    rows.append(Row("time", "change applied, one more route", {"us_each": slope, "fit": fit}))
    return rows


def _change_microseconds(routes: int, count: int) -> float:
    state = ControlState()
    state.tables = build_table(routes)
    index = 0

    def change() -> None:
        nonlocal index
        index += 1
        command = control_pb2.Command(time_ms=TIME_MS)
        command.apply_change.change_id = f"one-{index}"
        command.apply_change.author = "operator"
        # Each change replaces the first route with a different deadline.
        document = json.loads(_route_document(0)) | {"deadline_ms": 1000 + index}
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

    return median_microseconds(change, count * 0.002)


async def _log_append_costs(options: Options, folder: Path) -> list[Row]:
    payload = _serialize(
        control_pb2.Command(command_id="c" * 32, time_ms=1, claim_order=claim_command(1))
    )
    store = LogStore(folder, FileSystem(), SEGMENT_BYTES)
    await store.open()
    loop = asyncio.get_running_loop()
    rounds = int(options.choose(30, 200))
    rows = []
    for name, batch_size in (("single", 1), ("batched by 64", BATCH_ENTRY_COUNT)):
        started_at = loop.time()
        for _ in range(rounds):
            first = store.last_index + 1
            store.append(
                [
                    Record(first + n, 1, replication_pb2.ENTRY_KIND_COMMAND, payload)
                    for n in range(batch_size)
                ]
            )
            await store.sync(store.last_index)
        duration = (loop.time() - started_at) / rounds / batch_size
        figures = {"us_each": duration * 1e6, "bytes_each": store.record_at(1).size()}
        rows.append(Row("time", f"log append with fsync, {name}", figures))
    await store.close()
    return rows


def _wire_slopes() -> list[Row]:
    rows = []
    cases: dict[str, Callable[[int], Message]] = {
        "peer report, one more server": _peer_report_of_servers,
        "peer report, one more shard": _peer_report_of_shards,
        "domain report, one more grant": _domain_report,
        "heartbeat answer, one more grant": _heartbeat_response,
    }
    for name, build_message in cases.items():
        points = [
            (float(number), float(len(_serialize(build_message(number)))))
            for number in (20, 200, 1000)
        ]
        slope, fit = fit_line(points)
        figures = {"bytes_each": slope, "fit": fit, "bytes_at_20": points[0][1]}
        rows.append(Row("wire", name, figures))
    return rows


def _peer_report_of_servers(number: int) -> Message:
    return pb.PeerReport(
        entry="entry-a1",
        configuration_revision=9,
        servers=[server_status(n) for n in range(number)],
    )


def _peer_report_of_shards(number: int) -> Message:
    loads = [pb.ShardLoad(pool=POOL, shard=n, requests_per_second=2.5) for n in range(number)]
    return pb.PeerReport(entry="entry-a1", configuration_revision=9, shard_loads=loads)


def _grant_status(number: int) -> control_pb2.GrantStatus:
    server = server_status(number % 20)
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
        servers=[server_status(n) for n in range(20)],
        grants=[_grant_status(n) for n in range(number)],
    )


def _heartbeat_response(number: int) -> Message:
    return pb.HeartbeatResponse(
        coordinator=True,
        term_ms=600,
        version=12,
        grants_included=True,
        grants=[_grant_status(n) for n in range(number)],
    )


@section("slopes", "Slopes for the capacity page", is_timed=True)
def run(options: Options) -> list[Row]:
    """Measure all slopes in this process."""
    with tempfile.TemporaryDirectory(prefix="medlarpass-measure-") as folder:
        log_rows = asyncio.run(_log_append_costs(options, Path(folder)))
    return [
        *_memory_slopes(),
        *_coordinator_costs(options),
        *_processor_time(options),
        *log_rows,
        *_wire_slopes(),
    ]
