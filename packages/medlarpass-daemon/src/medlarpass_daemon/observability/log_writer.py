"""Writes log events as JSON lines."""

from __future__ import annotations

import json
import os
import sys
import threading
import time

from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import eliot

from medlarpass_daemon.observability.events import LOG_LINES_DROPPED
from medlarpass_daemon.settings.daemon import DEFAULT_LOG_LINES_PER_SECOND

if TYPE_CHECKING:
    from collections.abc import Callable

STANDARD_OUTPUT = "-"
#: Lines that may be queued while the disk or the reader of standard output is slow.
MAX_QUEUED_LINE_COUNT = 10_000
#: Time that ``close`` waits until the queued lines are written.
CLOSE_TIMEOUT_SECONDS = 2.0
#: Capacity of the token bucket, as a time at the full rate. It admits the burst at a process start.
BURST_SECONDS = 4.0
FILE_MODE = 0o640


class LogWriter:
    """Eliot destination that writes on a separate thread.

    Writing to a file or a pipe can block, and it must not block the event loop. When the queue is
    full or a write fails, lines are dropped and counted. The count is logged as an event as soon as
    a write succeeds again.

    :param file: path of the log file, or ``-`` for standard output
    :param on_drop: called with the number of dropped lines, also on the writer thread
    :param rate: maximum lines per second; lines in excess are dropped and counted
    :raises OSError: when the file can't be opened
    """

    __slots__ = (
        "condition",
        "descriptor",
        "dropped_count",
        "has_partial_line",
        "is_closing",
        "lines",
        "on_drop",
        "owns_descriptor",
        "rate",
        "refilled_at",
        "reported_count",
        "thread",
        "tokens",
    )

    def __init__(
        self,
        file: str,
        on_drop: Callable[[int], object] | None = None,
        rate: int = DEFAULT_LOG_LINES_PER_SECOND,
    ) -> None:
        self.owns_descriptor = file != STANDARD_OUTPUT
        self.descriptor = _open_log(file) if self.owns_descriptor else sys.stdout.fileno()
        self.on_drop = on_drop
        self.rate = float(rate)
        self.tokens = self.rate * BURST_SECONDS
        self.refilled_at = time.monotonic()
        self.lines: deque[bytes] = deque()
        self.condition = threading.Condition()
        self.is_closing = False
        #: Lines dropped since the start, and how many of them were reported in the log.
        self.dropped_count = 0
        self.reported_count = 0
        #: Whether the last write left an incomplete line.
        self.has_partial_line = False
        self.thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self) -> None:
        """Start the writer thread and register as an eliot destination."""
        self.thread.start()
        eliot.add_destinations(self)

    def close(self) -> None:
        """Write the queued lines and stop; waits for at most ``CLOSE_TIMEOUT_SECONDS``."""
        eliot.remove_destination(self)
        with self.condition:
            self.is_closing = True
            self.condition.notify()
        self.thread.join(CLOSE_TIMEOUT_SECONDS)
        if self.owns_descriptor and not self.thread.is_alive():
            os.close(self.descriptor)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message; never blocks on I/O."""
        if not self._take_token():
            with self.condition:
                self._count_dropped(1)
            return
        line = json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n"
        with self.condition:
            if len(self.lines) >= MAX_QUEUED_LINE_COUNT:
                self._count_dropped(1)
                return
            self.lines.append(line)
            self.condition.notify()

    def _take_token(self) -> bool:
        """Take a token from the bucket and return whether there was one."""
        now = time.monotonic()
        new_tokens = (now - self.refilled_at) * self.rate
        self.tokens = min(self.tokens + new_tokens, self.rate * BURST_SECONDS)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _run(self) -> None:
        while True:
            with self.condition:
                while not self.lines and not self.is_closing:
                    self.condition.wait()
                if not self.lines:
                    return
                batch = list(self.lines)
                self.lines.clear()
            for line in batch:
                self._write_line(line)

    def _write_line(self, line: bytes) -> None:
        if not self._try_write(line):
            with self.condition:
                self._count_dropped(1)
            return
        if self.dropped_count > self.reported_count:
            self._report_drops()

    def _report_drops(self) -> None:
        with self.condition:
            dropped = self.dropped_count
        line = json.dumps(
            {
                "message_type": f"medlarpass:{LOG_LINES_DROPPED.name}",
                "event": LOG_LINES_DROPPED.number,
                "timestamp": time.time(),
                "lines": dropped - self.reported_count,
            }
        )
        if self._try_write(line.encode() + b"\n"):
            self.reported_count = dropped

    def _try_write(self, line: bytes) -> bool:
        # Ends an incomplete line first, so that only that line is not valid JSON.
        data = memoryview(b"\n" + line if self.has_partial_line else line)
        try:
            while data:
                count = os.write(self.descriptor, data)
                data = data[count:]
                self.has_partial_line = True
        except OSError:
            return False
        self.has_partial_line = False
        return True

    def _count_dropped(self, count: int) -> None:
        self.dropped_count += count
        if self.on_drop is not None:
            self.on_drop(count)


def _open_log(file: str) -> int:
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
    return os.open(Path(file), flags, FILE_MODE)
