"""Whether the load balancer may send requests to the process."""

from __future__ import annotations

from medlarpass_daemon.observability.events import READINESS_CHANGED

#: Reason of a process that has not finished its start.
STARTING = "starting"


class Readiness:
    """Reasons why the process is not ready; it is ready when there is none.

    A new process has the reason ``starting``, so that it can't be ready by omission.
    """

    __slots__ = ("reasons",)

    def __init__(self) -> None:
        #: Details by reason.
        self.reasons: dict[str, str] = {STARTING: "the process has not finished its start"}

    @property
    def is_ready(self) -> bool:
        """Whether there is no reason against it."""
        return not self.reasons

    def block(self, reason: str, detail: str = "") -> None:
        """Add a reason or change its detail.

        :param reason: short stable name
        :param detail: text for people
        """
        known = reason in self.reasons
        self.reasons[reason] = detail
        if not known:
            self._log()

    def clear(self, reason: str) -> None:
        """Remove a reason; without effect when it is absent."""
        if self.reasons.pop(reason, None) is not None:
            self._log()

    def _log(self) -> None:
        READINESS_CHANGED.log(ready=self.is_ready, reasons=sorted(self.reasons))
