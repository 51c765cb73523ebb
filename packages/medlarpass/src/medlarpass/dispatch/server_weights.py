"""Load balancing weights of the servers of a pool."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from medlarpass.dispatch.response_times import ResponseTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

#: Decay factor of the sums per report period of half a second.
DECAY_RATIO = 0.9
#: Decayed response count below which a mean is not reliable.
MIN_RESPONSE_COUNT = 4.0
#: Bounds of a weight, relative to a server of median speed.
MIN_WEIGHT_RATIO = 0.2
MAX_WEIGHT_RATIO = 3.0
#: Fraction of the distance to its target that a weight moves per report period, on a logarithmic
#: scale. Response times react to a weight only after a queue has grown or emptied, so a larger
#: step makes the weights oscillate.
STEP_RATIO = 0.1
#: Ratio between a weight and the value last sent to entries from which it is sent again.
RESEND_RATIO = 1.1


class ServerWeights(ResponseTimes):
    """Weights inversely proportional to the response times of servers.

    By Little's law, servers with such weights have the same number of requests in the system: a
    slow server gets fewer requests, and so does one whose queue has grown for any reason. An entry
    that sends a request to a server only once in many seconds can't observe this by itself.
    """

    __slots__ = ("sent_weights", "weights")

    def __init__(self) -> None:
        super().__init__(DECAY_RATIO, MIN_RESPONSE_COUNT)
        self.weights: dict[str, float] = {}
        #: Weights last sent to entries.
        self.sent_weights: dict[str, float] = {}

    def update(self, identities: Sequence[str]) -> bool:
        """Move the weights of a pool's servers towards their targets.

        :returns: whether a weight has changed enough to be sent to entries
        """
        means = {identity: self.mean(identity) for identity in identities}
        known = [mean for mean in means.values() if mean is not None]
        median_time = median(known) if known else 0.0
        has_update = False
        for identity, mean in means.items():
            target = 1.0 if mean is None else median_time / mean
            target = min(max(target, MIN_WEIGHT_RATIO), MAX_WEIGHT_RATIO)
            previous = self.weights.get(identity, 1.0)
            weight = self.weights[identity] = previous ** (1 - STEP_RATIO) * target**STEP_RATIO
            sent = self.sent_weights.get(identity, 1.0)
            if max(weight / sent, sent / weight) >= RESEND_RATIO:
                self.sent_weights[identity] = weight
                has_update = True
        return has_update

    def retain(self, identities: set[str]) -> None:
        """Remove the weights of servers that are not in ``identities``."""
        for weights in (self.weights, self.sent_weights):
            for identity in weights.keys() - identities:
                del weights[identity]
