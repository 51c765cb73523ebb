"""Readiness of the process, which tells load balancers whether to send requests."""

from __future__ import annotations

from medlarpass_daemon.observability.events import READINESS_CHANGED

#: Reason that a process is not ready until it has finished starting.
STARTING = "starting"


class Readiness:
    """Reasons why the process is not ready; it is ready when there are none.

    A new process has the reason ``starting``, so that it is not ready by default.
    """

    __slots__ = ("reasons",)

    def __init__(self) -> None:
        #: Details by reason.
        self.reasons: dict[str, str] = {STARTING: "the process has not finished its start"}

    @property
    def is_ready(self) -> bool:
        """Whether there are no reasons against readiness."""
        return not self.reasons

    def block(self, reason: str, detail: str = "") -> None:
        """Add a reason or change its detail.

        :param reason: short, stable identifier
        :param detail: human-readable text
        """
        is_known = reason in self.reasons
        self.reasons[reason] = detail
        if not is_known:
            self._log()

    def clear(self, reason: str) -> None:
        """Remove a reason; does nothing when it is absent."""
        if self.reasons.pop(reason, None) is not None:
            self._log()

    def _log(self) -> None:
        READINESS_CHANGED.log(ready=self.is_ready, reasons=sorted(self.reasons))
