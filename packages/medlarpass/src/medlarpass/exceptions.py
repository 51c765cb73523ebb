"""Base class of all errors; each subpackage derives its own in its ``exceptions`` module."""

from __future__ import annotations

from typing import ClassVar

from medlarpass.outcome import Outcome


class MedlarpassError(Exception):
    """An error with a stable code.

    :param message: human-readable text; callers must check ``code`` instead

    :cvar code: stable identifier, listed in ``docs/errors.md``
    :cvar http_status: status of the response when the error reaches an HTTP interface
    :ivar retry_after: seconds after which a caller may retry, if a retry can help
    :cvar outcome: whether the request was executed
    """

    code: ClassVar[str] = "internal_error"
    http_status: ClassVar[int] = 500
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN
    retry_after: float = 0.2

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message
