"""Settings of a graceful shutdown."""

from __future__ import annotations

from typing import Any

from medlarpass import Value


class StopSettings(Value):
    """Durations of a graceful shutdown, in seconds.

    :param document: validated section ``stop``
    """

    __slots__ = ("balancer_wait", "finish_within")

    def __init__(self, document: dict[str, Any]) -> None:
        #: Time from reporting not ready until the listeners close, for load balancers to react.
        self.balancer_wait: float = document["balancer_wait"]
        #: Maximum time to wait for requests in flight.
        self.finish_within: float = document["finish_within"]
