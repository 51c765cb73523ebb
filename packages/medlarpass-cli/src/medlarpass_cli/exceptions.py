"""Errors of the operators' program."""

from __future__ import annotations

from typing import ClassVar

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass_cli.exit_status import ExitStatus


class CliError(MedlarpassError):
    """The program could not do what was asked.

    :cvar exit_status: exit status of the program
    """

    code = "cli_error"
    http_status = 400
    outcome = Outcome.NOT_RUN
    exit_status: ClassVar[ExitStatus] = ExitStatus.REFUSED


class UsageError(CliError):
    """The arguments or a file named by them can't be used."""

    code = "usage"
    exit_status = ExitStatus.USAGE


class RefusedError(CliError):
    """A control replica refused the call.

    :param message: message of the answer
    :param answered_code: code of the answer
    :param answered_by_log: whether the answer is the outcome of the change in the control log
    """

    code = "refused"

    def __init__(self, message: str, answered_code: str, answered_by_log: bool) -> None:
        super().__init__(message)
        self.answered_code = answered_code
        self.answered_by_log = answered_by_log


class ConflictError(RefusedError):
    """The expected version of an item is not its present version."""

    code = "conflict"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


class ControlUnreachableError(CliError):
    """No control replica could be reached or had a majority; nothing was run."""

    code = "control_unreachable"
    http_status = 503
    exit_status = ExitStatus.UNAVAILABLE


class ResultUnknownError(CliError):
    """A change was sent, but its result is not known; resend it with the same change id."""

    code = "result_unknown"
    http_status = 504
    outcome = Outcome.UNKNOWN
    exit_status = ExitStatus.UNKNOWN
