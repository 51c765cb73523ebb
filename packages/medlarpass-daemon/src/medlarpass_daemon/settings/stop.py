"""Settings of a planned stop."""

from __future__ import annotations

from typing import Any

from medlarpass import Value


class StopSettings(Value):
    """Durations of a planned stop, in seconds.

    :param document: validated section ``stop``
    """

    __slots__ = ("balancer_wait", "finish_within")

    def __init__(self, document: dict[str, Any]) -> None:
        #: From readiness off until the listeners close.
        self.balancer_wait: float = document["balancer_wait"]
        #: Greatest time to wait for requests in flight.
        self.finish_within: float = document["finish_within"]
