"""Clock drift margin of terms.

A holder shortens its term by the margin and a grantor extends it by the margin. Together they cover
clocks that each run up to 1% faster or slower than true time, because 1.01 / 0.99 is exactly the
largest ratio between the rates of two such clocks. A margin on one side only would cover half of
that.
"""

from __future__ import annotations

DRIFT_MARGIN_RATIO = 0.01


def holder_term(term: float) -> float:
    """Return how long a holder may rely on a term.

    :param term: agreed term in seconds
    """
    return term * (1.0 - DRIFT_MARGIN_RATIO)


def grantor_term(term: float) -> float:
    """Return how long a grantor has to honour a term.

    :param term: agreed term in seconds
    """
    return term * (1.0 + DRIFT_MARGIN_RATIO)
