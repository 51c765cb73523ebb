"""What is known about the execution of a request."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """Execution state of a request, as reported to the caller."""

    NOT_RUN = "not-run"
    RUN = "run"
    UNKNOWN = "unknown"
