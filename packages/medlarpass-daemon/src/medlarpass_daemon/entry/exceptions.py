"""Errors of an entry towards backend servers."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class WrongDomainError(MedlarpassError):
    """A server announced itself in another failure domain than its own."""

    code = "wrong_domain"
    http_status = 409
    outcome = Outcome.NOT_RUN


class CoordinatorRefusedError(MedlarpassError):
    """The coordinator refused an announcement or heartbeat; the server has to announce itself.

    :param reason: code of the coordinator's refusal
    :param message: text of the coordinator's refusal
    """

    code = "coordinator_refused"
    http_status = 409
    outcome = Outcome.NOT_RUN

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason
