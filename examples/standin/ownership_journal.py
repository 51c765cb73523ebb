"""Journal of the requests that a stand-in server accepted and of its grants."""

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

    :param path: file to which several processes append, or None to disable the journal
    :param identity: identity of the server
    """

    __slots__ = ("identity", "path", "recorded_grants", "recorded_releases")

    def __init__(self, path: Path | None, identity: str) -> None:
        self.path = path
        self.identity = identity
        self.recorded_grants: dict[Assignment, Fence] = {}
        self.recorded_releases: dict[Assignment, Fence] = {}

    def record_acceptance(self, key: str, fence: Fence, before: float) -> None:
        """Record an enquiry that was accepted between two readings of the clock.

        :param before: clock reading before the grant was checked
        """
        self._write("accepted", key=key, fence=fence.to_int(), before=before, after=boot_time())

    def record_end(self, key: str, fence: Fence) -> None:
        """Record the end of an accepted enquiry."""
        self._write("ended", key=key, fence=fence.to_int(), at=boot_time())

    def record_download(self) -> None:
        """Record the start of a download."""
        self._write("download", at=boot_time())

    def record_changes(self, holder: GrantHolder) -> None:
        """Record the changes made by the response to a heartbeat.

        :param holder: grants of the server after the response was applied
        """
        now = boot_time()
        for event, recorded, current in (
            ("granted", self.recorded_grants, holder.grants),
            ("releasing", self.recorded_releases, holder.releasing),
        ):
            for assignment, fence in current.items():
                if recorded.get(assignment) != fence:
                    recorded[assignment] = fence
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
        # A single short write in append mode does not interleave with lines of other processes.
        with self.path.open("a", encoding="utf-8") as journal:
            journal.write(line)
