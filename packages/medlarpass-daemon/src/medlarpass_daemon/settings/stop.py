"""Settings of a graceful shutdown."""

from __future__ import annotations

from typing import Any

from medlarpass import Value

#: Time in which a process exits after its last request.
EXIT_SECONDS = 0.5


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
        if "killed_after" in document:
            # The process has to answer and to write its last log lines before it is killed.
            remaining = document["killed_after"] - self.balancer_wait - EXIT_SECONDS
            self.finish_within = max(min(self.finish_within, remaining), 0.0)
