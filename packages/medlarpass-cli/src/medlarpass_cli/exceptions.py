"""Errors of the command line for operators."""

from __future__ import annotations

from typing import ClassVar

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass_cli.exit_status import ExitStatus


class CliError(MedlarpassError):
    """A command failed.

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
    """A control replica refused the request.

    :param message: message of the response
    :param response_code: error code in the response
    :param is_log_outcome: whether the response is the outcome of the change in the control log
    """

    code = "refused"

    def __init__(self, message: str, response_code: str, is_log_outcome: bool) -> None:
        super().__init__(message)
        self.response_code = response_code
        self.is_log_outcome = is_log_outcome


class ConflictError(RefusedError):
    """The expected version of an item is not its current version."""

    code = "conflict"
    http_status = 409
    exit_status = ExitStatus.CONFLICT


class ControlUnreachableError(CliError):
    """No control replica was reachable or had a majority; nothing was run."""

    code = "control_unreachable"
    http_status = 503
    exit_status = ExitStatus.UNAVAILABLE


class ResultUnknownError(CliError):
    """A change was sent, but its result is not known; a retry needs the same change id."""

    code = "result_unknown"
    http_status = 504
    outcome = Outcome.UNKNOWN
    exit_status = ExitStatus.UNKNOWN
