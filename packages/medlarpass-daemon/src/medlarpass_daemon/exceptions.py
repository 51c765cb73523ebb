"""Errors of the daemon."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class ListenError(MedlarpassError):
    """An address in the settings can't be listened on."""

    code = "listen_failed"
    outcome = Outcome.NOT_RUN


class ControlUnavailableError(MedlarpassError):
    """No control leader answered; the command was not appended."""

    code = "control_unavailable"
    http_status = 503
    outcome = Outcome.NOT_RUN


class CommandUnknownError(MedlarpassError):
    """The command may or may not take effect; repeat it with the same id."""

    code = "command_unknown"
    http_status = 504
    outcome = Outcome.UNKNOWN
