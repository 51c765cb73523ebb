"""Errors in the settings file."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class SettingsError(MedlarpassError):
    """The settings file is invalid; the process did not start.

    :param file: path of the settings file
    :param key: dotted path of the key, empty for the whole file
    :param expected: description of the expected value
    """

    code = "invalid_settings"
    http_status = 400
    outcome = Outcome.NOT_RUN

    def __init__(self, file: str, key: str, expected: str) -> None:
        location = f"{file}: {key}" if key else file
        super().__init__(f"{location}: {expected}")
        self.file = file
        self.key = key
        self.expected = expected
