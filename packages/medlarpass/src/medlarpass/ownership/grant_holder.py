"""Grants that a backend server holds, kept by the server itself."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from enum import Enum
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ownership.drift import holder_term
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.shard import Assignment

if TYPE_CHECKING:
    from collections.abc import Iterator

    from medlarpass.clock import Clock
    from medlarpass.rpc import domain_pb2 as pb

MILLISECONDS_PER_SECOND = 1000


class Refusal(Enum):
    """Reason for which a server refuses a request, as sent in ``Medlarpass-Refusal``."""

    STALE_FENCE = "stale-fence"
    NOT_OWNER = "not-owner"


class PendingHeartbeat(Value):
    """A heartbeat or announcement that is about to be sent.

    :param number: sequence number
    :param sent_at: time before the request is sent, in seconds; the session term starts here
    :param session_id: session id, or an empty string for an announcement
    :param known_version: version of the grants that this server has
    :param released: assignments that this server has stopped serving, with the fence of the grant
    """

    __slots__ = ("known_version", "number", "released", "sent_at", "session_id")

    def __init__(
        self,
        number: int,
        sent_at: float,
        session_id: str,
        known_version: int,
        released: tuple[tuple[Assignment, Fence], ...],
    ) -> None:
        self.number = number
        self.sent_at = sent_at
        self.session_id = session_id
        self.known_version = known_version
        self.released = released


class GrantHolder:
    """Grants of one incarnation of a server; a server written in Python can use it directly.

    A release is final for its fence and all lower fences, so a repeated or late response cannot
    undo it. If a server reports a release that the coordinator did not request, the assignment is
    granted anew with a higher fence.

    :param clock: clock of the server; it must include the time that the VM was suspended
    """

    __slots__ = (
        "_last_applied_number",
        "_last_number",
        "clock",
        "grants",
        "highest_fences",
        "known_version",
        "releasing",
        "running_requests",
        "session_id",
        "valid_until",
    )

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.session_id = ""
        self.known_version = 0
        self.valid_until = float("-inf")
        self.grants: dict[Assignment, Fence] = {}
        self.highest_fences: dict[tuple[str, int], Fence] = {}
        self.releasing: dict[Assignment, Fence] = {}
        self.running_requests: Counter[tuple[Assignment, str]] = Counter()
        self._last_number = 0
        self._last_applied_number = 0

    def begin_heartbeat(self) -> PendingHeartbeat:
        """Record the time before an announcement or heartbeat is sent and return its contents."""
        self._drop_expired_grants()
        self._last_number += 1
        released = tuple(
            (assignment, fence)
            for assignment, fence in sorted(self.releasing.items(), key=lambda item: item[0])
            if self._matches_grant(assignment, fence) and not self._is_running(assignment)
        )
        return PendingHeartbeat(
            self._last_number, self.clock.now(), self.session_id, self.known_version, released
        )

    def apply_announcement(self, pending: PendingHeartbeat, session_id: str, term_ms: int) -> bool:
        """Apply the response to an announcement.

        :param pending: result of :meth:`begin_heartbeat` before the request
        :param session_id: session id from the response
        :param term_ms: session term in milliseconds
        :returns: whether the response was applied
        """
        if pending.number <= self._last_applied_number:
            return False
        self._last_applied_number = pending.number
        if session_id != self.session_id:
            self.reset()
            self.session_id = session_id
        self._extend_session(pending, term_ms)
        return True

    def apply(self, pending: PendingHeartbeat, response: pb.HeartbeatResponse) -> bool:
        """Apply the response to a heartbeat.

        :param pending: result of :meth:`begin_heartbeat` before the request
        :param response: response of the coordinator
        :returns: whether the response was applied. It is ignored if it belongs to an older
            heartbeat than the last applied one, to another session, or to a version that this
            server does not have: it could restore a grant that has moved since.
        """
        if not response.coordinator or response.HasField("failure"):
            return False
        if pending.number <= self._last_applied_number or pending.session_id != self.session_id:
            return False
        self._drop_expired_grants()
        if not response.grants_included and response.version != self.known_version:
            return False
        self._last_applied_number = pending.number
        if response.grants_included:
            self.known_version = response.version
            self._replace_grants(response)
        for released in response.release:
            assignment, fence = _released_grant(released)
            self.releasing[assignment] = max(fence, self.releasing.get(assignment, fence))
        self._extend_session(pending, response.term_ms)
        return True

    def check(self, pool: str, shard: int, key: str, fence: Fence) -> Refusal | None:
        """Return whether a request may start now.

        :param pool: name of the pool
        :param shard: shard of the request
        :param key: key of the request
        :param fence: fence of the request
        :returns: reason to refuse the request without running it, or ``None``
        """
        self._drop_expired_grants()
        held = self._find_grant(pool, shard, key)
        if held is None:
            stale = fence < self.highest_fences.get((pool, shard), fence)
            return Refusal.STALE_FENCE if stale else Refusal.NOT_OWNER
        if fence < held[1]:
            return Refusal.STALE_FENCE
        if fence > held[1]:
            return Refusal.NOT_OWNER
        return None

    @contextmanager
    def track_request(self, pool: str, shard: int, key: str) -> Iterator[None]:
        """Delay the release of the grant of a checked request until the request has ended.

        Enter it right after :meth:`check`, without an ``await`` in between.

        :param pool: name of the pool
        :param shard: shard of the request
        :param key: key of the request
        """
        held = self._find_grant(pool, shard, key)
        assignment = Assignment(pool, shard) if held is None else held[0]
        self.running_requests[assignment, key] += 1
        try:
            yield
        finally:
            self.running_requests[assignment, key] -= 1
            if self.running_requests[assignment, key] == 0:
                del self.running_requests[assignment, key]

    def reset(self) -> None:
        """Drop the session and all grants, so that the server announces itself again."""
        self.session_id = ""
        self.known_version = 0
        self.valid_until = float("-inf")
        self.grants.clear()

    def _drop_expired_grants(self) -> None:
        # After the end of the session other servers may own the assignments, and a later renewal
        # must not restore the grants.
        if self.clock.now() >= self.valid_until:
            self.grants.clear()
            self.known_version = 0

    def _extend_session(self, pending: PendingHeartbeat, term_ms: int) -> None:
        valid_until = pending.sent_at + holder_term(term_ms / MILLISECONDS_PER_SECOND)
        self.valid_until = max(self.valid_until, valid_until)

    def _replace_grants(self, response: pb.HeartbeatResponse) -> None:
        self.grants = {
            Assignment(grant.pool, grant.shard, grant.key): Fence.from_int(grant.fence)
            for grant in response.grants
        }
        for assignment, fence in self.grants.items():
            shard_id = (assignment.pool, assignment.shard)
            self.highest_fences[shard_id] = max(fence, self.highest_fences.get(shard_id, fence))

    def _matches_grant(self, assignment: Assignment, fence: Fence) -> bool:
        return fence in (self.grants.get(assignment), self.grants.get(assignment.shard_assignment))

    def _find_grant(self, pool: str, shard: int, key: str) -> tuple[Assignment, Fence] | None:
        isolated, shard_assignment = Assignment(pool, shard, key), Assignment(pool, shard)
        assignment = isolated if isolated in self.grants else shard_assignment
        fence = self.grants.get(assignment)
        if fence is None or self._is_released(assignment, fence):
            return None
        return None if self._is_released(isolated, fence) else (assignment, fence)

    def _is_released(self, assignment: Assignment, fence: Fence) -> bool:
        return assignment in self.releasing and fence <= self.releasing[assignment]

    def _is_running(self, assignment: Assignment) -> bool:
        shard_assignment = assignment.shard_assignment
        return any(
            running_assignment == assignment
            or (running_assignment == shard_assignment and request_key == assignment.key)
            for running_assignment, request_key in self.running_requests
        )


def _released_grant(released: pb.ReleasedGrant) -> tuple[Assignment, Fence]:
    return Assignment(released.pool, released.shard, released.key), Fence.from_int(released.fence)
