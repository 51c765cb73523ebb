"""Reloads the settings when the file changes."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.events import SETTINGS_INVALID
from medlarpass_daemon.events import SETTINGS_RELOADED
from medlarpass_daemon.settings import SettingsError
from medlarpass_daemon.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import DaemonSettings

#: The file is polled because it may change without a signal.
POLL_INTERVAL_SECONDS = 1.0


class SettingsWatcher:
    """Applies changed seeds; logs which other changed settings need a restart.

    :param settings: settings that the process was started with
    :param seeds: addresses of control replicas
    """

    __slots__ = ("file", "last_file_state", "reload_requested", "seeds", "settings")

    def __init__(self, settings: DaemonSettings, seeds: Seeds) -> None:
        self.settings = settings
        self.seeds = seeds
        self.file = settings.file
        #: Set when a signal requests a reload.
        self.reload_requested = asyncio.Event()
        self.last_file_state = _file_state(self.file)

    async def run(self) -> None:
        """Check the file periodically until cancelled."""
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                    await self.reload_requested.wait()
            except TimeoutError:
                pass
            self.check_file(is_requested=self.reload_requested.is_set())
            self.reload_requested.clear()

    def check_file(self, is_requested: bool) -> None:
        """Reload the file if it has changed or a signal requested it.

        :param is_requested: whether a signal requested a reload
        """
        state = _file_state(self.file)
        if state == self.last_file_state and not is_requested:
            return
        self.last_file_state = state
        try:
            settings = load_settings(self.file)
        except SettingsError as error:
            SETTINGS_INVALID.log(reason=error.message)
            return
        self.seeds.update(settings)
        SETTINGS_RELOADED.log(
            is_asked=is_requested,
            seeds=self.seeds.addresses,
            needs_restart=_changed_settings(self.settings, settings),
        )


def _file_state(file: Path) -> tuple[int, int] | None:
    try:
        status = file.stat()
    except OSError:
        # A file that is being replaced is read at the next check.
        return None
    return status.st_mtime_ns, status.st_size


def _changed_settings(old: DaemonSettings, new: DaemonSettings) -> list[str]:
    """Return the names of changed settings, without the section ``fleet``, which has the seeds."""
    return [
        name
        for name in old.__slots__
        if name not in ("file", "fleet") and getattr(old, name) != getattr(new, name)
    ]
