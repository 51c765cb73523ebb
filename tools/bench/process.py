"""A child process and the signals that faults are made of."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

STOP_TIMEOUT = 30.0


class ChildProcess:
    """A process of the cluster.

    :param name: name for messages
    :param arguments: arguments of the Python interpreter
    :param root: root of the repository
    :param output: file for standard output and error
    """

    def __init__(self, name: str, arguments: Sequence[str], root: Path, output: Path) -> None:
        self.name = name
        self.arguments = list(arguments)
        self.root = root
        self.output = output
        self.child: subprocess.Popen[bytes] | None = None
        self.frozen = False

    def start(self) -> None:
        """Start the process, or start it again."""
        self.frozen = False
        sources = [str(path) for path in sorted(self.root.glob("packages/*/src"))]
        environment = os.environ | {"PYTHONPATH": os.pathsep.join([str(self.root), *sources])}
        with self.output.open("ab") as output:
            self.child = subprocess.Popen(
                [sys.executable, *self.arguments],
                cwd=self.root,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """End the process without warning."""
        self._signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Stop the process from being scheduled."""
        self._signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Ask for a planned stop."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout: float = STOP_TIMEOUT) -> int:
        """Return the exit status."""
        if self.child is None:
            raise AssertionError(f"{self.name} was never started")
        return self.child.wait(timeout)

    def log(self) -> str:
        """Return what the process has written."""
        return self.output.read_text(encoding="utf-8", errors="replace")

    def _signal(self, number: int) -> None:
        if self.child is not None and self.running:
            self.child.send_signal(number)


def eventually(what: str, check: object, timeout: float = 20.0, pause: float = 0.02) -> None:
    """Wait until a check holds.

    The limit only ends a hopeless test; no test passes because of how fast the machine is.

    :param what: for the message when it never holds
    :param check: function without arguments that returns a truth value
    """
    assert callable(check)
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(pause)
    raise AssertionError(f"not within {timeout} s: {what}")
