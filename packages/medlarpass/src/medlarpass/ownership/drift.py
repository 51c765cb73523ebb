"""Drift margin of terms.

A holder counts its term short by the margin and a grantor counts it long by the margin. Together
they cover clocks that each run up to 1% faster or slower than true time, because 1.01 / 0.99 is
exactly the largest ratio between two such clocks. A margin on one side only would cover half of
that.
"""

from __future__ import annotations

DRIFT_MARGIN = 0.01


def held_term(term: float) -> float:
    """Return how long a holder may count on a term.

    :param term: agreed term in seconds
    """
    return term * (1.0 - DRIFT_MARGIN)


def granted_term(term: float) -> float:
    """Return how long a grantor has to honour a term.

    :param term: agreed term in seconds
    """
    return term * (1.0 + DRIFT_MARGIN)
