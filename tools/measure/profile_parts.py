"""Summary of a cProfile file by module."""

from __future__ import annotations

import pstats

from pathlib import PurePath
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from pathlib import Path

BUILT_IN_FILE = "~"
# Imports are part of the start-up and are not counted.
IMPORTS_PREFIX = "<frozen importlib"


def own_time_by_module(path: Path) -> list[tuple[str, float]]:
    """Return modules with their own time in percent, the largest first.

    Built-in functions count towards the module that calls them. The event loop, which mostly waits
    for events, is excluded.

    :param path: file written by cProfile
    """
    stats: dict[Any, Any] = pstats.Stats(str(path)).stats  # type: ignore[attr-defined]
    times: dict[str, float] = {}
    for (file, _, name), (_, _, own_time, _, callers) in stats.items():
        if file.startswith(IMPORTS_PREFIX) or "run_until_complete" in name or "run_forever" in name:
            continue
        if file != BUILT_IN_FILE:
            module = _module_name(file)
            times[module] = times.get(module, 0.0) + own_time
            continue
        for (caller_file, _, caller), (_, _, own_time_for_caller, _) in callers.items():
            if caller_file.startswith(IMPORTS_PREFIX):
                continue
            module = _module_name(caller_file) if caller_file != BUILT_IN_FILE else caller
            times[module] = times.get(module, 0.0) + own_time_for_caller
    total = sum(times.values())
    percentages = [(module, 100.0 * time / total) for module, time in times.items()]
    return sorted(percentages, key=lambda item: -item[1])


def _module_name(file: str) -> str:
    path_parts = PurePath(file).parts
    for root in ("site-packages", "src"):
        if root in path_parts:
            return "/".join(path_parts[path_parts.index(root) + 1 :][-2:])
    return "/".join(path_parts[-2:])
