"""Admission to a pool together with the estimate of its capacity.

The load is that of :mod:`tools.measure.admission_loop`: bursts of 2.3 times the usual demand for
7 s, and a target latency of 2.5 s.
"""

from __future__ import annotations

import pytest

from tools.measure.admission_loop import AdmissionLoop


@pytest.mark.parametrize("reports_load", [True, False])
@pytest.mark.parametrize(("usual", "least"), [(0.5, 0.98), (0.7, 0.94), (0.8, 0.9), (0.9, 0.82)])
def test_most_callers_get_an_answer_in_time(usual: float, least: float, reports_load: bool) -> None:
    """Guards against a burst after which all answers are late, and against needless refusals."""
    assert AdmissionLoop(usual, 2.3, reports_load).run(70) > least


def test_without_limits_a_burst_makes_most_answers_late() -> None:
    """Guards against a simulation in which limits have no use: 0.6 of the callers at 0.8."""
    assert AdmissionLoop(0.8, 2.3, True, is_limited=False).run(70) < 0.7


@pytest.mark.parametrize("reports_load", [True, False])
def test_a_high_demand_without_a_burst_is_not_limited(reports_load: bool) -> None:
    """Guards against a limit that begins with a low estimate and lowers it further.

    The queues of servers that report no load make the latest estimates of the capacity too low.
    """
    loop = AdmissionLoop(0.9, 1.0, reports_load)
    assert loop.run(70) > 0.98
    # By the latest estimates, a tenth of the callers of the second pool get no answer.
    assert loop.refused < 0.03 * loop.offered
