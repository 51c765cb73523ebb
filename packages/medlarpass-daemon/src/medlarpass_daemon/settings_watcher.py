"""Reads the settings again when they change."""

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

#: Seconds between two looks at the file: it may change without a signal.
PERIOD = 1.0


class SettingsWatcher:
    """Puts changed seeds in force; all other settings need a restart, which the log says.

    :param settings: settings in force
    :param seeds: addresses of control
    """

    __slots__ = ("asked", "file", "seeds", "seen", "settings")

    def __init__(self, settings: DaemonSettings, seeds: Seeds) -> None:
        self.settings = settings
        self.seeds = seeds
        self.file = settings.file
        #: Set when a signal asks for a look.
        self.asked = asyncio.Event()
        self.seen = _state_of(self.file)

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            try:
                async with asyncio.timeout(PERIOD):
                    await self.asked.wait()
            except TimeoutError:
                pass
            self.look(is_asked=self.asked.is_set())
            self.asked.clear()

    def look(self, is_asked: bool) -> None:
        """Read the file if it has changed or a signal asked for it.

        :param is_asked: whether a signal asked
        """
        state = _state_of(self.file)
        if state == self.seen and not is_asked:
            return
        self.seen = state
        try:
            settings = load_settings(self.file)
        except SettingsError as error:
            SETTINGS_INVALID.log(reason=error.message)
            return
        self.seeds.update(settings)
        SETTINGS_RELOADED.log(
            is_asked=is_asked,
            seeds=self.seeds.addresses,
            needs_restart=_other_than_seeds(self.settings, settings),
        )


def _state_of(file: Path) -> tuple[int, int] | None:
    try:
        status = file.stat()
    except OSError:
        # A file that is just being replaced is read at the next look.
        return None
    return status.st_mtime_ns, status.st_size


def _other_than_seeds(old: DaemonSettings, new: DaemonSettings) -> list[str]:
    """Return the names of the sections that differ; seeds are in force at once."""
    return [
        name
        for name in old.__slots__
        if name not in ("file", "fleet") and getattr(old, name) != getattr(new, name)
    ]
