"""Errors that an entry returns to backend servers."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class WrongDomainError(MedlarpassError):
    """A server sent its announcement to an entry of another failure domain."""

    code = "wrong_domain"
    http_status = 409
    outcome = Outcome.NOT_RUN


class CoordinatorRefusedError(MedlarpassError):
    """The coordinator refused an announcement or heartbeat; the server must announce itself again.

    :param reason: error code from the coordinator
    :param message: error message from the coordinator
    """

    code = "coordinator_refused"
    http_status = 409
    outcome = Outcome.NOT_RUN

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason
