"""Durations and sizes with units, as written in the settings file."""

from __future__ import annotations

import re

from typing import Any

import voluptuous as vol

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
DURATION_UNITS = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZE_PATTERN = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
SIZE_UNITS = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


def duration(low: str, high: str) -> Any:
    """Return a validator for a duration such as ``150ms``; its result is in seconds.

    :param low: least allowed duration, with unit
    :param high: greatest allowed duration, with unit
    """
    bounds = (seconds_of(low), seconds_of(high))

    def check(value: Any) -> float:
        seconds = seconds_of(value)
        if not bounds[0] <= seconds <= bounds[1]:
            raise vol.Invalid(f"expected a duration from {low} to {high}")
        return seconds

    return check


def size(low: str, high: str) -> Any:
    """Return a validator for a size such as ``16KiB``; its result is in bytes.

    :param low: least allowed size, with unit
    :param high: greatest allowed size, with unit
    """
    bounds = (bytes_of(low), bytes_of(high))

    def check(value: Any) -> int:
        count = bytes_of(value)
        if not bounds[0] <= count <= bounds[1]:
            raise vol.Invalid(f"expected a size from {low} to {high}")
        return count

    return check


def seconds_of(value: Any) -> float:
    """Return the seconds of a duration with unit.

    :raises voluptuous.Invalid: when the value is no duration
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise vol.Invalid("expected a duration with a unit of ms, s, min or h")
    return float(match[1]) * DURATION_UNITS[match[2]]


def bytes_of(value: Any) -> int:
    """Return the bytes of a size with unit.

    :raises voluptuous.Invalid: when the value is no size
    """
    match = SIZE_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise vol.Invalid("expected a size with a unit of B, KiB, MiB or GiB")
    return int(match[1]) * SIZE_UNITS[match[2]]
