"""Record of a case: what was sent, answered and run."""

from __future__ import annotations

import json
import time

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from pathlib import Path

    from review.worker import Worker


class Record:
    """Writes lines with the seconds since the start of the case."""

    def __init__(self, file: Path) -> None:
        self.started_at = time.monotonic()
        self.file = file.open("w", encoding="utf-8")
        #: Time, worker and id of each request that reached a worker and didn't get 421 there.
        self.arrivals: list[tuple[float, Worker, str]] = []
        #: Ids of the requests at which a worker began to work, once for each time.
        self.runs: list[str] = []

    def add(self, what: str, **fields: Any) -> None:
        """Add a line."""
        seconds = time.monotonic() - self.started_at
        details = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.file.write(f"{seconds:8.3f} {what} {details}\n")
        self.file.flush()

    def arrived(self, worker: Worker, attempt: str) -> None:
        """Note that a request has reached a worker that doesn't reject it with 421."""
        self.arrivals.append((time.monotonic(), worker, attempt))
