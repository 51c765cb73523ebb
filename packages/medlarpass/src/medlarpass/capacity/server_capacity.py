"""Requests per second that each server can handle."""

from __future__ import annotations

from medlarpass.dispatch import ResponseTimes

#: Length of a report period in seconds, after which the sums decay.
PERIOD_SECONDS = 0.5
#: Ratio of a sum that remains after a report period. A server responds to 6 to 10 requests a second
#: and the times of its work vary by a factor of two, so an estimate covers about 5 s.
DECAY_RATIO = 0.9
#: Decayed response count below which nothing is estimated.
MIN_RESPONSE_COUNT = 5.0


class ServerCapacity:
    """Estimates the capacity of servers from their responses, as reported by entries.

    The estimate is the larger of the completions per second and of the slots divided by the mean
    response time. The response times include the time in the queue of the server, which makes the
    second figure too low for a busy server; it then uses the responses that did not queue, if they
    are known, and the first figure is close to the capacity.
    """

    __slots__ = ("all_times", "unqueued_times")

    def __init__(self) -> None:
        self.all_times = ResponseTimes(DECAY_RATIO, MIN_RESPONSE_COUNT)
        self.unqueued_times = ResponseTimes(DECAY_RATIO, MIN_RESPONSE_COUNT)

    def add(
        self,
        identity: str,
        responses: int,
        seconds: float,
        unqueued_responses: int = 0,
        unqueued_seconds: float = 0.0,
    ) -> None:
        """Add responses of a server.

        :param identity: identity of the server
        :param responses: number of responses
        :param seconds: sum of their response times
        :param unqueued_responses: number of those that reported an empty queue
        :param unqueued_seconds: sum of the response times of these
        """
        self.all_times.add(identity, responses, seconds)
        if unqueued_responses:
            self.unqueued_times.add(identity, unqueued_responses, unqueued_seconds)

    def apply_decay(self) -> None:
        """End a report period of 0.5 s."""
        self.all_times.apply_decay()
        self.unqueued_times.apply_decay()

    def rate_of(self, identity: str, slots: int) -> float | None:
        """Return the requests per second that a server can handle.

        :param identity: identity of the server
        :param slots: requests that it runs concurrently
        :returns: None while there are too few responses
        """
        mean = self.all_times.mean(identity)
        if mean is None:
            return None
        unqueued_mean = self.unqueued_times.mean(identity)
        return max(
            self.completion_rate(identity),
            slots / (mean if unqueued_mean is None else unqueued_mean),
        )

    def completion_rate(self, identity: str) -> float:
        """Return the responses per second of a server.

        The rate is too low for the first seconds of a server, when the sum is still growing.
        """
        count, _ = self.all_times.sums.get(identity, (0.0, 0.0))
        return count * (1 - DECAY_RATIO) / PERIOD_SECONDS
