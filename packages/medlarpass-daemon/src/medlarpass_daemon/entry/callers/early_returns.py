"""Refused callers who come back earlier than they were told."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.callers.caller_request import CallerRequest

#: Refused requests that are remembered, about 1 MB. An entry refuses fewer while they are due.
MAX_REFUSAL_COUNT = 4096


class EarlyReturns:
    """Remembers until when a request that was refused on a connection should not come again.

    Only a repetition of the same request on the same connection is recognised, because different
    callers may share a connection. A caller who repeats on new connections is not recognised, and
    is admitted with the same share as all others.

    :param clock: source of time
    """

    __slots__ = ("clock", "due_at")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: Clock reading from which a request may come again, by connection and request; the oldest
        #: refusal comes first.
        self.due_at: dict[tuple[object, ...], float] = {}

    def record_refusal(self, request: CallerRequest, retry_after: float) -> None:
        """Record that a request was refused.

        :param retry_after: seconds after which it may come again
        """
        key = _key(request)
        self.due_at.pop(key, None)
        self.due_at[key] = self.clock.now() + retry_after
        while len(self.due_at) > MAX_REFUSAL_COUNT:
            del self.due_at[next(iter(self.due_at))]

    def remaining(self, request: CallerRequest) -> float:
        """Return the seconds by which a request comes too early; 0 if it does not."""
        if not self.due_at:
            return 0.0
        key = _key(request)
        due_at = self.due_at.get(key)
        if due_at is None:
            return 0.0
        remaining = due_at - self.clock.now()
        if remaining <= 0:
            del self.due_at[key]
        return max(remaining, 0.0)


def _key(request: CallerRequest) -> tuple[object, ...]:
    web = request.web
    transport = web.transport
    peer = transport.get_extra_info("peername") if transport is not None else None
    # Path and key are chosen by the caller and may be long.
    return peer, request.pool.name, web.method, hash((request.path, request.key))
