"""Guards against a paused or partitioned entry that makes healthy servers count as failed."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import DetectorSettings
from medlarpass.dispatch import SuspicionAgreement

SERVERS = {f"s{n}" for n in range(6)}
NO_SERVERS: set[str] = set()


@pytest.mark.parametrize(
    ("suspects", "failed"),
    [
        ([{"s0"}, {"s0"}, {"s0"}], {"s0"}),
        ([{"s0"}, {"s0"}, NO_SERVERS], {"s0"}),
        ([{"s0"}, NO_SERVERS, NO_SERVERS], NO_SERVERS),
        ([{"s0"}, {"s1"}, NO_SERVERS], NO_SERVERS),
        ([SERVERS, NO_SERVERS, NO_SERVERS], NO_SERVERS),
        ([SERVERS, {"s0"}, {"s0"}], {"s0"}),  # the partitioned observer is ignored
        ([SERVERS, SERVERS, NO_SERVERS], NO_SERVERS),
        ([{"s0"}, NO_SERVERS], NO_SERVERS),
        ([{"s0"}], {"s0"}),  # a single observer decides alone
        ([SERVERS], NO_SERVERS),
        ([], NO_SERVERS),
    ],
)
def test_agreement(suspects: list[set[str]], failed: set[str]) -> None:
    agreement = SuspicionAgreement(DetectorSettings(), ManualClock())
    for n, suspected in enumerate(suspects):
        agreement.record_report(f"e{n}", SERVERS, suspected, sent_at=0.0)
    assert agreement.failed_servers() == failed


def test_old_reports_do_not_count() -> None:
    clock = ManualClock()
    agreement = SuspicionAgreement(DetectorSettings(), clock)
    agreement.record_report("e0", SERVERS, {"s0"}, sent_at=0.0)
    agreement.record_report("e1", SERVERS, {"s0"}, sent_at=0.0)
    clock.advance(0.6)
    agreement.record_report("e2", SERVERS, NO_SERVERS, sent_at=0.6)
    assert agreement.failed_servers() == NO_SERVERS


def test_older_report_does_not_replace_a_newer_one() -> None:
    agreement = SuspicionAgreement(DetectorSettings(), ManualClock(1.0))
    agreement.record_report("e0", SERVERS, NO_SERVERS, sent_at=1.0)
    agreement.record_report("e0", SERVERS, {"s0"}, sent_at=0.9)
    assert agreement.failed_servers() == NO_SERVERS


def test_observer_that_does_not_know_the_server_has_no_vote() -> None:
    agreement = SuspicionAgreement(DetectorSettings(), ManualClock())
    for observer in ("e0", "e1"):
        agreement.record_report(observer, SERVERS, {"s0"}, sent_at=0.0)
    for observer in ("e2", "e3", "e4"):
        agreement.record_report(observer, {"s1", "s2"}, NO_SERVERS, sent_at=0.0)
    assert agreement.failed_servers() == {"s0"}
    agreement.forget("e1")
    assert agreement.failed_servers() == NO_SERVERS
