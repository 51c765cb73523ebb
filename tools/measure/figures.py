"""Statistics of samples."""

from __future__ import annotations

from math import ceil
from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random


def percentile(values: Sequence[float], ratio: float) -> float:
    """Return the smallest value that at least this share of the values do not exceed."""
    if not values:
        return 0.0
    return sorted(values)[max(ceil(ratio * len(values)) - 1, 0)]


def mean(values: Sequence[float]) -> float:
    """Return the mean, 0 if there are no values."""
    return sum(values) / len(values) if values else 0.0


def lognormal(rng: Random, average: float, sigma: float) -> float:
    """Return a sample of the lognormal distribution with the given mean."""
    return average * exp(rng.gauss(-sigma * sigma / 2.0, sigma))
