"""Marginal cost of an element, from measurements of several element counts."""

from __future__ import annotations

import gc
import time
import tracemalloc

from typing import TYPE_CHECKING
from typing import Any

from tools.measure.figures import mean
from tools.measure.figures import percentile

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

MICROSECONDS_PER_SECOND = 1e6


def fit_line(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and coefficient of determination of a least-squares line.

    :param points: pairs of element count and cost
    """
    mean_x = mean([x for x, _ in points])
    mean_y = mean([y for _, y in points])
    x_variation = sum((x - mean_x) ** 2 for x, _ in points)
    y_variation = sum((y - mean_y) ** 2 for _, y in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / x_variation
    residual = sum((y - mean_y - slope * (x - mean_x)) ** 2 for x, y in points)
    return slope, 1.0 - residual / y_variation if y_variation else 1.0


def bytes_slope(build: Callable[[int], Any], counts: Sequence[int]) -> tuple[float, float]:
    """Return the Python memory per additional element in bytes, and the fit.

    Memory allocated by the protobuf library itself is not traced by ``tracemalloc``.

    :param build: builds a structure with the given number of elements
    :param counts: element counts to measure
    """
    points = []
    for count in counts:
        gc.collect()
        tracemalloc.start()
        structure = build(count)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del structure
        points.append((float(count), float(size)))
    return fit_line(points)


def median_microseconds(
    operation: Callable[[], object], budget_seconds: float, min_batch_count: int = 5
) -> float:
    """Return the median duration of a call in microseconds.

    :param operation: function to measure
    :param budget_seconds: time to spend, in seconds
    :param min_batch_count: minimum number of measured batches
    """
    operation()
    started_at = time.perf_counter()
    operation()
    call_seconds = max(time.perf_counter() - started_at, 1e-7)
    batch_size = max(1, int(budget_seconds / 20 / call_seconds))
    durations: list[float] = []
    ends_at = time.perf_counter() + budget_seconds
    while len(durations) < min_batch_count or time.perf_counter() < ends_at:
        started_at = time.perf_counter()
        for _ in range(batch_size):
            operation()
        durations.append((time.perf_counter() - started_at) / batch_size)
        if len(durations) >= min_batch_count and time.perf_counter() > ends_at:
            break
    return MICROSECONDS_PER_SECOND * percentile(durations, 0.5)
