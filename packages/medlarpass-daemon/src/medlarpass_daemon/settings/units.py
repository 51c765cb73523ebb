"""Parses and validates durations and sizes with units."""

from __future__ import annotations

import re

from typing import Any

import voluptuous as vol

DURATION_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s|min|h)")
SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0, "min": 60.0, "h": 3600.0}
SIZE_PATTERN = re.compile(r"(\d+)(B|KiB|MiB|GiB)")
BYTES_PER_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


def duration(low: str, high: str) -> Any:
    """Return a validator for a duration such as ``150ms``; its result is in seconds.

    :param low: minimum duration, with unit
    :param high: maximum duration, with unit
    """
    bounds = (parse_duration(low), parse_duration(high))

    def check(value: Any) -> float:
        seconds = parse_duration(value)
        if not bounds[0] <= seconds <= bounds[1]:
            raise vol.Invalid(f"expected a duration from {low} to {high}")
        return seconds

    return check


def size(low: str, high: str) -> Any:
    """Return a validator for a size such as ``16KiB``; its result is in bytes.

    :param low: minimum size, with unit
    :param high: maximum size, with unit
    """
    bounds = (parse_size(low), parse_size(high))

    def check(value: Any) -> int:
        size_bytes = parse_size(value)
        if not bounds[0] <= size_bytes <= bounds[1]:
            raise vol.Invalid(f"expected a size from {low} to {high}")
        return size_bytes

    return check


def parse_duration(value: Any) -> float:
    """Convert a duration with a unit to seconds.

    :raises voluptuous.Invalid: when the value is not a duration
    """
    match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise vol.Invalid("expected a duration with a unit of ms, s, min or h")
    return float(match[1]) * SECONDS_PER_UNIT[match[2]]


def parse_size(value: Any) -> int:
    """Convert a size with a unit to bytes.

    :raises voluptuous.Invalid: when the value is not a size
    """
    match = SIZE_PATTERN.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise vol.Invalid("expected a size with a unit of B, KiB, MiB or GiB")
    return int(match[1]) * BYTES_PER_UNIT[match[2]]
