"""Writes log events as one JSON object a line."""

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
from medlarpass_daemon.settings.daemon import DEFAULT_LOG_RATE

if TYPE_CHECKING:
    from collections.abc import Callable

STANDARD_OUTPUT = "-"
#: Lines that may wait while the disk or the reader of standard output is slow.
MAX_WAITING = 10_000
#: Seconds that ``close`` waits for the lines that are still in the queue.
CLOSE_TIMEOUT = 2.0
#: Seconds of the rate that may be written at once, for example at a start.
BURST = 4.0
FILE_MODE = 0o640


class LogWriter:
    """Destination of eliot that writes on a thread of its own.

    Writing to a file or a pipe can block, and the event loop must not wait for it. When the queue
    is full or a write fails, lines are dropped and counted. The count is written as an event as
    soon as writing works again.

    :param file: path of the log file, or ``-`` for standard output
    :param on_drop: called with the number of lines dropped, for the metrics; may run on the thread
    :param rate: lines a second; what goes beyond is dropped and counted
    :raises OSError: when the file can't be opened
    """

    __slots__ = (
        "allowance",
        "allowed_at",
        "closing",
        "descriptor",
        "dropped",
        "lines",
        "on_drop",
        "owns_descriptor",
        "rate",
        "reported",
        "thread",
        "torn",
        "wake",
    )

    def __init__(
        self,
        file: str,
        on_drop: Callable[[int], object] | None = None,
        rate: int = DEFAULT_LOG_RATE,
    ) -> None:
        self.owns_descriptor = file != STANDARD_OUTPUT
        self.descriptor = _opened(file) if self.owns_descriptor else sys.stdout.fileno()
        self.on_drop = on_drop
        self.rate = float(rate)
        self.allowance = self.rate * BURST
        self.allowed_at = time.monotonic()
        self.lines: deque[bytes] = deque()
        self.wake = threading.Condition()
        self.closing = False
        #: Lines dropped since the start, and those of them that the log already names.
        self.dropped = 0
        self.reported = 0
        #: Whether the last write left an unfinished line.
        self.torn = False
        self.thread = threading.Thread(target=self._run, name="log-writer", daemon=True)

    def start(self) -> None:
        """Receive the messages of eliot."""
        self.thread.start()
        eliot.add_destinations(self)

    def close(self) -> None:
        """Write what is in the queue and stop; waits for ``CLOSE_TIMEOUT`` at most."""
        eliot.remove_destination(self)
        with self.wake:
            self.closing = True
            self.wake.notify()
        self.thread.join(CLOSE_TIMEOUT)
        if self.owns_descriptor and not self.thread.is_alive():
            os.close(self.descriptor)

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message; never waits for the disk."""
        if not self._is_within_rate():
            with self.wake:
                self._drop(1)
            return
        line = json.dumps(message, default=str, separators=(",", ":")).encode() + b"\n"
        with self.wake:
            if len(self.lines) >= MAX_WAITING:
                self._drop(1)
                return
            self.lines.append(line)
            self.wake.notify()

    def _is_within_rate(self) -> bool:
        """Take an allowance; a burst of ``BURST`` seconds may be written at once."""
        now = time.monotonic()
        gained = (now - self.allowed_at) * self.rate
        self.allowance = min(self.allowance + gained, self.rate * BURST)
        self.allowed_at = now
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True

    def _run(self) -> None:
        while True:
            with self.wake:
                while not self.lines and not self.closing:
                    self.wake.wait()
                if not self.lines:
                    return
                batch = list(self.lines)
                self.lines.clear()
            for line in batch:
                self._write_line(line)

    def _write_line(self, line: bytes) -> None:
        if not self._written(line):
            with self.wake:
                self._drop(1)
            return
        if self.dropped > self.reported:
            self._report_drops()

    def _report_drops(self) -> None:
        with self.wake:
            dropped = self.dropped
        line = json.dumps(
            {
                "message_type": f"medlarpass:{LOG_LINES_DROPPED.name}",
                "event": LOG_LINES_DROPPED.number,
                "timestamp": time.time(),
                "lines": dropped - self.reported,
            }
        )
        if self._written(line.encode() + b"\n"):
            self.reported = dropped

    def _written(self, line: bytes) -> bool:
        # A line after an unfinished one starts anew, so that only that one can't be parsed.
        data = memoryview(b"\n" + line if self.torn else line)
        try:
            while data:
                count = os.write(self.descriptor, data)
                data = data[count:]
                self.torn = True
        except OSError:
            return False
        self.torn = False
        return True

    def _drop(self, count: int) -> None:
        self.dropped += count
        if self.on_drop is not None:
            self.on_drop(count)


def _opened(file: str) -> int:
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
    return os.open(Path(file), flags, FILE_MODE)
