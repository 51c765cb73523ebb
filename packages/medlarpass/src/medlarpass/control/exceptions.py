"""Errors of the replicated control state."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class CommandRejectedError(MedlarpassError):
    """A command has no body that this version knows."""

    code = "command_rejected"
    http_status = 400
    outcome = Outcome.NOT_RUN
