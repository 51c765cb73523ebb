"""Guards against measurements that come from a faulty model or differ between runs."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING

from tools.measure import results
from tools.measure.event_loop import EventLoop
from tools.measure.options import Options
from tools.measure.retries import run
from tools.measure.row import Row
from tools.measure.server_model import Job
from tools.measure.server_model import ServerModel

if TYPE_CHECKING:
    from pathlib import Path


def submit(server: ServerModel, count: int, responses: list[tuple[float, bool]]) -> None:
    for _ in range(count):
        server.submit(Job(1.0, lambda was_run: responses.append((server.loop.now(), was_run))))


def test_events_run_by_time_and_then_in_the_order_of_the_calls() -> None:
    loop = EventLoop()
    executed: list[str] = []
    for delay, name in [(2.0, "c"), (1.0, "a"), (1.0, "b"), (9.0, "late")]:
        loop.after(delay, lambda name=name: executed.append(name))  # type: ignore[misc]
    loop.run(until=5.0)
    assert executed == ["a", "b", "c"]
    assert loop.now() == 5.0


def test_server_runs_its_slots_queues_a_few_and_refuses_the_rest() -> None:
    loop = EventLoop()
    server = ServerModel(loop, "s0", slots=2, queue_limit=1)
    responses: list[tuple[float, bool]] = []
    submit(server, 5, responses)
    assert (server.running, len(server.queue)) == (2, 1)
    loop.run(until=10.0)
    assert responses == [(0.0, False), (0.0, False), (1.0, True), (1.0, True), (2.0, True)]
    assert server.busy_seconds == 3.0


def test_frozen_server_sends_no_response_until_it_resumes() -> None:
    loop = EventLoop()
    server = ServerModel(loop, "s0", slots=1, queue_limit=0)
    responses: list[tuple[float, bool]] = []
    submit(server, 1, responses)
    server.frozen_until = 5.0
    loop.run(until=4.0)
    assert responses == []
    loop.run(until=10.0)
    assert responses == [(5.0, True)]


def test_same_seed_gives_the_same_figures() -> None:
    first, second, other = (
        [row.figures for row in run(Options(seed, quick=True))] for seed in (1, 1, 2)
    )
    assert first == second
    assert first != other


def test_comparison_names_what_changed(tmp_path: Path) -> None:
    path = results.figures_path(tmp_path / "new", Options(1, quick=True))
    assert results.read(path) == {}
    old = {"s | case | policy": Row("case", "policy", {"a": 1.0, "b": 2.0}).figures}
    results.write(path, old)
    assert json.loads(path.read_text()) == old
    new = {"s | case | policy": {"a": 1.0, "b": 3.0, "c": 4.0}}
    common, changed = results.compare(results.read(path), new)
    assert common == 2
    assert changed == ["s | case | policy | b: 2 -> 3"]
