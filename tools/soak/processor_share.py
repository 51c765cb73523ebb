"""Program that gives processes a share of their processor time by stopping and continuing them.

Commands on standard input: ``hold PID`` keeps a process stopped, ``free PID`` lets it run again.
"""

from __future__ import annotations

import argparse
import contextlib
import os
import select
import signal
import sys
import time

PERIOD_SECONDS = 0.1


class ProcessorShare:
    """Stops processes for a part of each period.

    :param share: share of each period for which the processes run
    :param pids: processes
    """

    __slots__ = ("held", "pids", "share")

    def __init__(self, share: float, pids: list[int]) -> None:
        self.share = share
        self.pids = pids
        #: Processes that stay stopped.
        self.held: set[int] = set()

    def run(self) -> None:
        """Run until standard input ends; the processes then run on."""
        is_open = True
        while is_open:
            self._signal_all(signal.SIGCONT)
            is_open = self._wait(PERIOD_SECONDS * self.share)
            if self.share < 1.0:
                self._signal_all(signal.SIGSTOP)
                is_open &= self._wait(PERIOD_SECONDS * (1.0 - self.share))
        self.held.clear()
        self._signal_all(signal.SIGCONT)

    def _signal_all(self, number: signal.Signals) -> None:
        for pid in self.pids:
            if pid not in self.held:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(pid, number)

    def _wait(self, seconds: float) -> bool:
        """Wait and handle commands meanwhile; return False at the end of standard input."""
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            readable, _, _ = select.select([sys.stdin], [], [], remaining)
            if readable:
                line = sys.stdin.readline()
                if not line:
                    return False
                self._handle(line)
        return True

    def _handle(self, line: str) -> None:
        command, pid = line.split()
        if command == "hold":
            self.held.add(int(pid))
            os.kill(int(pid), signal.SIGSTOP)
        else:
            self.held.discard(int(pid))


def main() -> None:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("share", type=float, help="share of each 0.1 s for which they run")
    parser.add_argument("pids", type=int, nargs="+")
    arguments = parser.parse_args()
    ProcessorShare(arguments.share, arguments.pids).run()


if __name__ == "__main__":
    main()
