"""Execution outcome of a request."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Whether a request was executed, as reported to the caller."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"
