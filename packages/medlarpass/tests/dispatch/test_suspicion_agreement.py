"""Guards against one entry, paused or cut off, that evicts healthy servers."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.dispatch import DetectorSettings
from medlarpass.dispatch import SuspicionAgreement

KNOWN = {f"s{n}" for n in range(6)}
NONE: set[str] = set()


@pytest.mark.parametrize(
    ("suspects", "failed"),
    [
        ([{"s0"}, {"s0"}, {"s0"}], {"s0"}),
        ([{"s0"}, {"s0"}, NONE], {"s0"}),
        ([{"s0"}, NONE, NONE], NONE),
        ([{"s0"}, {"s1"}, NONE], NONE),
        ([KNOWN, NONE, NONE], NONE),
        ([KNOWN, {"s0"}, {"s0"}], {"s0"}),  # the cut-off observer is left out
        ([KNOWN, KNOWN, NONE], NONE),
        ([{"s0"}, NONE], NONE),
        ([{"s0"}], {"s0"}),  # a single observer has nobody to ask
        ([KNOWN], NONE),
        ([], NONE),
    ],
)
def test_agreement(suspects: list[set[str]], failed: set[str]) -> None:
    subject = SuspicionAgreement(DetectorSettings(), ManualClock())
    for n, each in enumerate(suspects):
        subject.report(f"e{n}", KNOWN, each, sent_at=0.0)
    assert subject.failed() == failed


def test_old_reports_do_not_count() -> None:
    clock = ManualClock()
    subject = SuspicionAgreement(DetectorSettings(), clock)
    subject.report("e0", KNOWN, {"s0"}, sent_at=0.0)
    subject.report("e1", KNOWN, {"s0"}, sent_at=0.0)
    clock.advance(0.6)
    subject.report("e2", KNOWN, NONE, sent_at=0.6)
    assert subject.failed() == NONE


def test_older_report_does_not_replace_a_newer_one() -> None:
    subject = SuspicionAgreement(DetectorSettings(), ManualClock(1.0))
    subject.report("e0", KNOWN, NONE, sent_at=1.0)
    subject.report("e0", KNOWN, {"s0"}, sent_at=0.9)
    assert subject.failed() == NONE


def test_observer_that_does_not_know_the_server_has_no_vote() -> None:
    subject = SuspicionAgreement(DetectorSettings(), ManualClock())
    for observer in ("e0", "e1"):
        subject.report(observer, KNOWN, {"s0"}, sent_at=0.0)
    for observer in ("e2", "e3", "e4"):
        subject.report(observer, {"s1", "s2"}, NONE, sent_at=0.0)
    assert subject.failed() == {"s0"}
    subject.forget("e1")
    assert subject.failed() == NONE
