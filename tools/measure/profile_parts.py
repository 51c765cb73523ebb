"""Sums up a profile by parts of the program."""

from __future__ import annotations

import pstats

from pathlib import PurePath
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from pathlib import Path

BUILT_IN = "~"
# Imports belong to the start of the process.
IMPORTS = "<frozen importlib"


def parts_of(path: Path) -> list[tuple[str, float]]:
    """Return parts with their own time in percent, the most expensive first.

    Built-in functions count for the module that calls them. Waiting for events is left out.

    :param path: file written by cProfile
    """
    stats: dict[Any, Any] = pstats.Stats(str(path)).stats  # type: ignore[attr-defined]
    times: dict[str, float] = {}
    for (file, _, name), (_, _, own, _, callers) in stats.items():
        if file.startswith(IMPORTS) or "run_until_complete" in name or "run_forever" in name:
            continue
        if file != BUILT_IN:
            part = _part(file)
            times[part] = times.get(part, 0.0) + own
            continue
        for (caller_file, _, caller), (_, _, own_here, _) in callers.items():
            if caller_file.startswith(IMPORTS):
                continue
            part = _part(caller_file) if caller_file != BUILT_IN else caller
            times[part] = times.get(part, 0.0) + own_here
    total = sum(times.values())
    parts = [(part, 100.0 * time / total) for part, time in times.items()]
    return sorted(parts, key=lambda each: -each[1])


def _part(file: str) -> str:
    names = PurePath(file).parts
    for root in ("site-packages", "src"):
        if root in names:
            return "/".join(names[names.index(root) + 1 :][-2:])
    return "/".join(names[-2:])
