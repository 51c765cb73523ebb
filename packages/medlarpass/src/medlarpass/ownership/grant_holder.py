"""A backend server's view of the grants that it holds."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ownership.drift import held_term
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.shard import Assignment

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarpass.clock import Clock
    from medlarpass.rpc import domain_pb2 as pb

MILLISECONDS = 1000


class Refusal(Enum):
    """Why a server does not run a request, as sent in ``Medlarpass-Refusal``."""

    STALE_FENCE = "stale-fence"
    NOT_OWNER = "not-owner"


class Ticket(Value):
    """A heartbeat that is about to be sent.

    :param number: order of the heartbeats
    :param asked_at: time before the request, in seconds; the session counts from here
    :param session: session id, or an empty string for an announcement
    :param seen: grant version to send
    :param released: assignments that this server has stopped serving, with the fence of the grant
    """

    __slots__ = ("asked_at", "number", "released", "seen", "session")

    def __init__(
        self,
        number: int,
        asked_at: float,
        session: str,
        seen: int,
        released: tuple[tuple[Assignment, Fence], ...],
    ) -> None:
        self.number = number
        self.asked_at = asked_at
        self.session = session
        self.seen = seen
        self.released = released


class GrantHolder:
    """Grants of one incarnation of a server, embeddable in the server.

    A release is final for the fence that it names and all lower ones, so a repeated or late answer
    cannot undo it. A server that reports a release to a coordinator which did not ask for it gets
    the grant anew.

    :param clock: clock of the server; it must count suspended time
    """

    __slots__ = (
        "_applied",
        "_number",
        "clock",
        "grants",
        "highest",
        "releasing",
        "running",
        "seen",
        "session",
        "valid_until",
    )

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.session = ""
        self.seen = 0
        self.valid_until = float("-inf")
        self.grants: dict[Assignment, Fence] = {}
        self.highest: dict[tuple[str, int], Fence] = {}
        self.releasing: dict[Assignment, Fence] = {}
        self.running: Counter[tuple[Assignment, str]] = Counter()
        self._number = 0
        self._applied = 0

    def begin(self) -> Ticket:
        """Note the time before an announcement or heartbeat and return what it has to carry."""
        self._lapse()
        self._number += 1
        released = tuple(
            (assignment, fence)
            for assignment, fence in sorted(self.releasing.items(), key=lambda each: each[0])
            if self._is_bound(assignment, fence) and not self._is_running(assignment)
        )
        return Ticket(self._number, self.clock.now(), self.session, self.seen, released)

    def announced(self, ticket: Ticket, session: str, term_ms: int) -> bool:
        """Apply the answer to an announcement.

        :param ticket: result of :meth:`begin` before the request
        :param session: session id of the answer
        :param term_ms: session term in milliseconds
        :returns: whether the answer was used
        """
        if ticket.number <= self._applied:
            return False
        self._applied = ticket.number
        if session != self.session:
            self.forget()
            self.session = session
        self._extend(ticket, term_ms)
        return True

    def apply(self, ticket: Ticket, response: pb.HeartbeatResponse) -> bool:
        """Apply the answer to a heartbeat.

        :param ticket: result of :meth:`begin` before the request
        :param response: answer of the coordinator
        :returns: whether the answer was used. An answer to an older heartbeat than the last applied
            one, of another session, or about a version that this server does not hold is not: it
            could bring back a grant that has moved since.
        """
        if not response.coordinator or response.HasField("failure"):
            return False
        if ticket.number <= self._applied or ticket.session != self.session:
            return False
        self._lapse()
        if not response.grants_included and response.version != self.seen:
            return False
        self._applied = ticket.number
        if response.grants_included:
            self.seen = response.version
            self._replace(response)
        for item in response.release:
            assignment, fence = _released(item)
            self.releasing[assignment] = max(fence, self.releasing.get(assignment, fence))
        self._extend(ticket, response.term_ms)
        return True

    def check(self, pool: str, shard: int, key: str, fence: Fence) -> Refusal | None:
        """Tell whether a request may start now.

        :param pool: name of the pool
        :param shard: shard of the request
        :param key: key of the request
        :param fence: fence of the request
        :returns: reason to refuse the request as not run, or ``None``
        """
        self._lapse()
        held = self._held(pool, shard, key)
        if held is None:
            stale = fence < self.highest.get((pool, shard), fence)
            return Refusal.STALE_FENCE if stale else Refusal.NOT_OWNER
        if fence < held[1]:
            return Refusal.STALE_FENCE
        if fence > held[1]:
            return Refusal.NOT_OWNER
        return None

    @contextmanager
    def work(self, pool: str, shard: int, key: str) -> Iterator[None]:
        """Keep the grant of a checked request from being confirmed as released while it runs.

        Call it right after :meth:`check`, without a suspension in between.

        :param pool: name of the pool
        :param shard: shard of the request
        :param key: key of the request
        """
        held = self._held(pool, shard, key)
        assignment = Assignment(pool, shard) if held is None else held[0]
        self.running[assignment, key] += 1
        try:
            yield
        finally:
            self.running[assignment, key] -= 1
            if self.running[assignment, key] == 0:
                del self.running[assignment, key]

    def forget(self) -> None:
        """Drop the session and all grants; the server has to announce itself again."""
        self.session = ""
        self.seen = 0
        self.valid_until = float("-inf")
        self.grants.clear()

    def _lapse(self) -> None:
        # After the term the grants may be with other servers, and a later renewal must not bring
        # them back.
        if self.clock.now() >= self.valid_until:
            self.grants.clear()
            self.seen = 0

    def _extend(self, ticket: Ticket, term_ms: int) -> None:
        until = ticket.asked_at + held_term(term_ms / MILLISECONDS)
        self.valid_until = max(self.valid_until, until)

    def _replace(self, response: pb.HeartbeatResponse) -> None:
        self.grants = {
            Assignment(item.pool, item.shard, item.key): Fence.from_int(item.fence)
            for item in response.grants
        }
        for assignment, fence in self.grants.items():
            place = (assignment.pool, assignment.shard)
            self.highest[place] = max(fence, self.highest.get(place, fence))

    def _is_bound(self, assignment: Assignment, fence: Fence) -> bool:
        return fence in (self.grants.get(assignment), self.grants.get(assignment.whole))

    def _held(self, pool: str, shard: int, key: str) -> tuple[Assignment, Fence] | None:
        apart, whole = Assignment(pool, shard, key), Assignment(pool, shard)
        assignment = apart if apart in self.grants else whole
        fence = self.grants.get(assignment)
        if fence is None or self._is_released(assignment, fence):
            return None
        return None if self._is_released(apart, fence) else (assignment, fence)

    def _is_released(self, assignment: Assignment, fence: Fence) -> bool:
        return assignment in self.releasing and fence <= self.releasing[assignment]

    def _is_running(self, assignment: Assignment) -> bool:
        whole = assignment.whole
        return any(
            running == assignment or (running == whole and key == assignment.key)
            for running, key in self.running
        )


def _released(item: pb.ReleasedGrant) -> tuple[Assignment, Fence]:
    return Assignment(item.pool, item.shard, item.key), Fence.from_int(item.fence)
