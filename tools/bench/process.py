"""Child processes and the signals that inject faults."""

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

STOP_TIMEOUT_SECONDS = 30.0


class ChildProcess:
    """A process of the cluster.

    :param name: name in failure messages
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
        """Start or restart the process."""
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
        """Whether the process was started and has not terminated."""
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """Terminate the process by SIGKILL."""
        self._signal(signal.SIGKILL)
        self.wait()

    def freeze(self) -> None:
        """Suspend the process by SIGSTOP."""
        self._signal(signal.SIGSTOP)
        self.frozen = True

    def thaw(self) -> None:
        """Resume a frozen process."""
        self._signal(signal.SIGCONT)
        self.frozen = False

    def terminate(self) -> None:
        """Request a graceful shutdown by SIGTERM."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout: float = STOP_TIMEOUT_SECONDS) -> int:
        """Wait until the process terminates and return its exit status."""
        if self.child is None:
            raise AssertionError(f"{self.name} was never started")
        return self.child.wait(timeout)

    def log(self) -> str:
        """Return the output of the process."""
        return self.output.read_text(encoding="utf-8", errors="replace")

    def _signal(self, signal_number: int) -> None:
        if self.child is not None and self.running:
            self.child.send_signal(signal_number)


def eventually(
    description: str, condition: object, timeout: float = 20.0, interval: float = 0.02
) -> None:
    """Poll until a condition holds.

    The timeout only ends a test whose condition never holds; no test passes because the machine is
    fast enough.

    :param description: names the condition in the failure message
    :param condition: function without arguments that returns a truth value
    """
    assert callable(condition)
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(interval)
    raise AssertionError(f"not within {timeout} s: {description}")
