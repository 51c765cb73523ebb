"""Result of one attempt, as input of the policies."""

from __future__ import annotations

from medlarpass.base import Value
from medlarpass.outcome import Outcome

MIN_SERVER_ERROR_STATUS = 500


class AttemptOutcome(Value):
    """Result of one attempt.

    :param outcome: whether the server ran the request
    :param latency: seconds from sending the request to its result
    :param status: HTTP status of the response, None without a response
    """

    __slots__ = ("latency", "outcome", "status")

    def __init__(self, outcome: Outcome, latency: float, status: int | None = None) -> None:
        self.outcome = outcome
        self.latency = latency
        self.status = status

    @property
    def is_failure(self) -> bool:
        """Whether the attempt counts as a failure of the server.

        A refusal before the request ran indicates load or a stale grant, not a broken server.
        """
        if self.outcome is Outcome.NOT_RUN:
            return self.status is None
        return (
            self.outcome is Outcome.UNKNOWN
            or self.status is None
            or self.status >= MIN_SERVER_ERROR_STATUS
        )
