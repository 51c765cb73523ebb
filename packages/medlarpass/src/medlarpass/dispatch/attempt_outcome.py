"""Result of one attempt, as the policies need it."""

from __future__ import annotations

from medlarpass.base import Value
from medlarpass.outcome import Outcome

SERVER_ERROR = 500


class AttemptOutcome(Value):
    """Result of one attempt.

    :param outcome: whether the server ran the request
    :param latency: seconds from sending to the result
    :param status: HTTP status of the answer, if there was one
    """

    __slots__ = ("latency", "outcome", "status")

    def __init__(self, outcome: Outcome, latency: float, status: int | None = None) -> None:
        self.outcome = outcome
        self.latency = latency
        self.status = status

    @property
    def is_failure(self) -> bool:
        """Whether the attempt speaks against the server's health.

        A refusal before running is a sign of load or of an old grant, not of a broken server.
        """
        if self.outcome is Outcome.NOT_RUN:
            return self.status is None
        return self.outcome is Outcome.UNKNOWN or self.status is None or self.status >= SERVER_ERROR
