"""Errors of the settings file."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class SettingsError(MedlarpassError):
    """The settings file can't be used; nothing was started.

    :param file: path of the settings file
    :param key: dotted path of the key, empty for the whole file
    :param expected: what was expected there
    """

    code = "invalid_settings"
    http_status = 400
    outcome = Outcome.NOT_RUN

    def __init__(self, file: str, key: str, expected: str) -> None:
        place = f"{file}: {key}" if key else file
        super().__init__(f"{place}: {expected}")
        self.file = file
        self.key = key
        self.expected = expected
