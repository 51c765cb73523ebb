"""Journal of what a stand-in server accepted and of the grants that it held."""

from __future__ import annotations

import json
import time

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from medlarpass.ownership import Assignment
    from medlarpass.ownership import Fence
    from medlarpass.ownership import GrantHolder


def boot_time() -> float:
    """Return CLOCK_BOOTTIME in seconds; all processes of a machine read the same clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OwnershipJournal:
    """Writes a line for each accepted enquiry, download, new grant and release.

    :param path: file that several processes append to, or None to write nothing
    :param identity: identity of the server
    """

    __slots__ = ("granted", "identity", "path", "releasing")

    def __init__(self, path: Path | None, identity: str) -> None:
        self.path = path
        self.identity = identity
        self.granted: dict[Assignment, Fence] = {}
        self.releasing: dict[Assignment, Fence] = {}

    def accepted(self, key: str, fence: Fence, before: float) -> None:
        """Record an enquiry that was accepted between two readings of the clock.

        :param before: reading before the check of the grant
        """
        self._write("accepted", key=key, fence=fence.to_int(), before=before, after=boot_time())

    def ended(self, key: str, fence: Fence) -> None:
        """Record the end of an accepted enquiry."""
        self._write("ended", key=key, fence=fence.to_int(), at=boot_time())

    def download_started(self) -> None:
        """Record that a download began."""
        self._write("download", at=boot_time())

    def note(self, holder: GrantHolder) -> None:
        """Record what an answer to a heartbeat changed.

        :param holder: grants of the server after the answer
        """
        now = boot_time()
        for event, known, present in (
            ("granted", self.granted, holder.grants),
            ("releasing", self.releasing, holder.releasing),
        ):
            for assignment, fence in present.items():
                if known.get(assignment) != fence:
                    known[assignment] = fence
                    self._write(
                        event,
                        pool=assignment.pool,
                        shard=assignment.shard,
                        key=assignment.key,
                        fence=fence.to_int(),
                        at=now,
                    )

    def _write(self, event: str, **fields: object) -> None:
        if self.path is None:
            return
        line = json.dumps({"event": event, "server": self.identity} | fields) + "\n"
        # One write of a short line in append mode keeps lines of several processes apart.
        with self.path.open("a", encoding="utf-8") as journal:
            journal.write(line)
