"""Requests per second that each server can handle."""

from __future__ import annotations

import math

from medlarpass.dispatch import ResponseTimes

#: Length of a report period in seconds, after which the sums decay.
PERIOD_SECONDS = 0.5
#: Ratio of a sum that remains after a report period. A server responds to 6 to 10 requests a second
#: and the times of its work vary by a factor of two, so an estimate covers about 5 s.
DECAY_RATIO = 0.9
#: The same for the check whether requests queue, which covers about 1.5 s.
RECENT_DECAY_RATIO = 0.7
#: Ratio of the slots divided by the mean response time to the completions below which a server
#: counts as queueing. With exponential times and 3 slots that is a utilisation of 0.83.
QUEUEING_RATIO = 0.6
#: Decayed response count below which nothing is estimated.
MIN_RESPONSE_COUNT = 5.0


class ServerCapacity:
    """Estimates the capacity of servers from their responses, as reported by entries.

    The estimate is the larger of the completions per second and of the slots divided by the mean
    response time. The response times include the time in the queue of the server, which makes the
    second figure too low for a busy server. It uses the responses that did not queue, if they are
    known, else those from before the requests began to queue: when load doubles, response times
    grow within a second, and the completions take five.
    """

    __slots__ = ("all_times", "idle_times", "recent_times", "slots", "unqueued_times")

    def __init__(self) -> None:
        self.all_times = ResponseTimes(DECAY_RATIO, MIN_RESPONSE_COUNT)
        self.unqueued_times = ResponseTimes(DECAY_RATIO, MIN_RESPONSE_COUNT)
        #: Responses of the times in which few requests queued.
        self.idle_times = ResponseTimes(DECAY_RATIO, MIN_RESPONSE_COUNT)
        self.recent_times = ResponseTimes(RECENT_DECAY_RATIO, MIN_RESPONSE_COUNT)
        #: Slots of the servers whose capacity has been asked for.
        self.slots: dict[str, int] = {}

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
        self.recent_times.add(identity, responses, seconds)
        if not self.is_queueing(identity, self.slots.get(identity, math.inf)):
            self.idle_times.add(identity, responses, seconds)
        if unqueued_responses:
            self.unqueued_times.add(identity, unqueued_responses, unqueued_seconds)

    def apply_decay(self) -> None:
        """End a report period of 0.5 s."""
        for times in (self.all_times, self.recent_times, self.idle_times, self.unqueued_times):
            times.apply_decay()
        self.slots = {name: self.slots[name] for name in self.slots.keys() & self.all_times.sums}

    def rate_of(self, identity: str, slots: int) -> float | None:
        """Return the requests per second that a server can handle.

        :param identity: identity of the server
        :param slots: requests that it runs concurrently
        :returns: None while there are too few responses, or only old ones that queued
        """
        self.slots[identity] = slots
        mean = self.all_times.mean(identity)
        if mean is None:
            return None
        idle_mean = self.unqueued_times.mean(identity) or self.idle_times.mean(identity)
        if idle_mean is None and not self.is_queueing(identity, slots):
            # All responses are from a busy time that has ended.
            return None
        return max(self.completion_rate(identity), slots / (idle_mean or mean))

    def is_queueing(self, identity: str, slots: float) -> bool:
        """Return whether the response times of a server show that most requests queue at it."""
        mean = self.recent_times.mean(identity)
        if mean is None:
            return False
        count, _ = self.recent_times.sums[identity]
        rate = count * (1 - RECENT_DECAY_RATIO) / PERIOD_SECONDS
        return slots / mean < QUEUEING_RATIO * rate

    def completion_rate(self, identity: str) -> float:
        """Return the responses per second of a server.

        The rate is too low for the first seconds of a server, when the sum is still growing.
        """
        count, _ = self.all_times.sums.get(identity, (0.0, 0.0))
        return count * (1 - DECAY_RATIO) / PERIOD_SECONDS
