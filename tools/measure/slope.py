"""Cost of one more of something, by measuring several numbers of it."""

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

MICROSECONDS = 1e6


def fitted(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return slope and fit (coefficient of determination) of a line by least squares.

    :param points: number and cost
    """
    at = mean([x for x, _ in points])
    cost = mean([y for _, y in points])
    spread = sum((x - at) ** 2 for x, _ in points)
    total = sum((y - cost) ** 2 for _, y in points)
    slope = sum((x - at) * (y - cost) for x, y in points) / spread
    rest = sum((y - cost - slope * (x - at)) ** 2 for x, y in points)
    return slope, 1.0 - rest / total if total else 1.0


def bytes_slope(build: Callable[[int], Any], numbers: Sequence[int]) -> tuple[float, float]:
    """Return bytes of Python memory for one more element, and the fit.

    Memory that the protobuf library allocates itself is not seen by Python's allocator.

    :param build: makes a structure with a number of elements
    :param numbers: numbers of elements to measure
    """
    points = []
    for number in numbers:
        gc.collect()
        tracemalloc.start()
        kept = build(number)
        gc.collect()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        points.append((float(number), float(size)))
    return fitted(points)


def microseconds(act: Callable[[], object], budget: float, least: int = 5) -> float:
    """Return the median time of a call in microseconds.

    :param act: call to measure
    :param budget: seconds to spend
    :param least: least number of measured batches
    """
    act()
    begin = time.perf_counter()
    act()
    once = max(time.perf_counter() - begin, 1e-7)
    batch = max(1, int(budget / 20 / once))
    taken: list[float] = []
    end = time.perf_counter() + budget
    while len(taken) < least or time.perf_counter() < end:
        begin = time.perf_counter()
        for _ in range(batch):
            act()
        taken.append((time.perf_counter() - begin) / batch)
        if len(taken) >= least and time.perf_counter() > end:
            break
    return MICROSECONDS * percentile(taken, 0.5)
