"""Loads that servers report, and when they are believed.

The load is that of pools with 160 servers of 3 slots and a queue of 12, of which a fifth runs three
times slower for periods of 0.4 s.
"""

from __future__ import annotations

import random

import pytest

from hypothesis import given
from hypothesis import strategies

from medlarpass import ManualClock
from medlarpass.dispatch import ReportedLoads
from medlarpass.dispatch import ServerLoadReport
from medlarpass.dispatch.reported_load import MAX_SERVER_COUNT
from medlarpass.dispatch.reported_load import VALID_SECONDS

IDLE = ServerLoadReport(1, 0, 3)
QUEUED = ServerLoadReport(3, 4, 3)
FULL = ServerLoadReport(3, 12, 3)
SLOW = ServerLoadReport(1, 0, 3, 300)
MEAN_SECONDS = 0.3


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(1000.0)


@pytest.fixture
def loads(clock: ManualClock) -> ReportedLoads:
    return ReportedLoads(clock)


def test_reports_with_and_without_the_fourth_figure_are_read() -> None:
    """Guards against reports of one form that are ignored."""
    assert ServerLoadReport.from_text("3,12,3") == FULL
    assert ServerLoadReport.from_text("1,0,3,300") == SLOW


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,12",
        "3,12,3,100,1",
        "3,-1,3,100",
        "3,1.5,3",
        "3, 1, 3",
        "4,0,3",
        "1,0,0",
        "1,0,3,0",
        "1,0,3,999999",
        "1,999999,3",
        "9999999999,0,3",
        "٣,0,3",
        "nan,0,3",
        "1e3,0,3",
    ],
)
def test_a_malformed_report_is_no_report(text: str) -> None:
    """Guards against values that raise an error or exclude a healthy server."""
    assert ServerLoadReport.from_text(text) is None


@given(strategies.text(max_size=40))
def test_any_text_is_read_or_refused(text: str) -> None:
    """Guards against an unexpected exception, which would end the request."""
    report = ServerLoadReport.from_text(text)
    assert report is None or (report.slots >= 1 and report.percent >= 1 and report.cost > 0)


@pytest.mark.parametrize("report", [QUEUED, SLOW])
def test_a_loaded_server_is_taken_only_without_a_better_one(
    loads: ReportedLoads, clock: ManualClock, report: ServerLoadReport
) -> None:
    """Guards against requests to a server with a queue, or in a slow period, beside idle ones."""
    loads.record("loaded", 1, report)
    loads.record("idle", 1, IDLE)
    servers = {"loaded": 1, "idle": 1, "unknown": 1}
    assert loads.preferred(servers) == {"idle", "unknown"}
    clock.advance(VALID_SECONDS + 0.01)
    assert loads.preferred(servers) == set(servers)


def test_among_loaded_servers_the_better_half_is_taken(loads: ReportedLoads) -> None:
    """Guards against a pool without servers, and against one server that gets all requests."""
    for identity, waiting in (("a", 1), ("b", 2), ("c", 9), ("d", 12)):
        loads.record(identity, 1, ServerLoadReport(3, waiting, 3))
    assert loads.preferred(dict.fromkeys("abcd", 1)) == {"a", "b"}
    assert loads.preferred({"d": 1}) == {"d"}
    assert loads.preferred({}) == set()


def test_a_report_applies_to_one_incarnation(loads: ReportedLoads) -> None:
    """Guards against a restarted server that is avoided for the queue of its predecessor."""
    loads.record("s", 1, FULL)
    assert loads.current("s", 2) is None
    loads.record("s", 2, IDLE)
    loads.record("s", 1, FULL)
    assert loads.current("s", 2) == IDLE


def test_an_empty_queue_is_doubted_while_the_server_refuses(
    loads: ReportedLoads, clock: ManualClock
) -> None:
    """Guards against responses that count as unqueued at a server that refuses requests."""
    loads.record("s", 1, IDLE)
    assert loads.is_unqueued("s", 1, IDLE)
    loads.record_refusal("s", 1)
    assert loads.current("s", 1) is None
    assert not loads.is_unqueued("s", 1, IDLE)
    clock.advance(2 * VALID_SECONDS)
    loads.record("s", 1, IDLE)
    assert loads.current("s", 1) == IDLE


@pytest.mark.parametrize(("factor", "is_believed"), [(1.0, False), (3.0, True)])
def test_a_high_load_is_doubted_if_most_responses_are_quick(
    loads: ReportedLoads, factor: float, is_believed: bool
) -> None:
    """Guards against a healthy server that always says it is full, and against trust in none.

    Times of work are log-normal with a spread of 0.8; the second server takes three times as long.
    """
    rng = random.Random(7)
    believed = 0
    for _ in range(400):
        loads.record("s", 1, FULL)
        seconds = factor * MEAN_SECONDS * rng.lognormvariate(-0.32, 0.8)
        loads.record_response("s", 1, FULL, seconds, MEAN_SECONDS)
        believed += loads.current("s", 1) is not None
    assert (believed > 360) if is_believed else (believed < 100)


def test_the_memory_is_bounded(loads: ReportedLoads) -> None:
    """Guards against reports of departed servers that are kept for ever."""
    for index in range(MAX_SERVER_COUNT + 10):
        loads.record(f"s{index}", 1, IDLE)
    assert len(loads.by_identity) == MAX_SERVER_COUNT
