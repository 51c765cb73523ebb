"""Grants of key ranges to servers."""

from __future__ import annotations

import asyncio
import math

from operator import itemgetter
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ranges import GrantExpiryTracker
from medlarpass.ranges import RangeAssignment
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.fleet import events
from medlarpass_daemon.control.fleet.exceptions import AnotherServerError
from medlarpass_daemon.control.fleet.exceptions import GrantOutdatedError
from medlarpass_daemon.control.fleet.exceptions import HigherFenceError
from medlarpass_daemon.control.fleet.exceptions import LeaseNotHeldError
from medlarpass_daemon.control.fleet.exceptions import ServerCallError
from medlarpass_daemon.control.fleet.exceptions import ServerNotReachedError
from medlarpass_daemon.supervision import end_tasks

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Iterator

    from medlarpass import Clock
    from medlarpass.fleet import FleetMember
    from medlarpass.fleet import ServerHeartbeat
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.fleet.leader_lease import LeaderLease
    from medlarpass_daemon.control.fleet.server_calls import ServerCalls
    from medlarpass_daemon.control.replica_log import ReplicaLog
    from medlarpass_daemon.settings import FleetSettings

#: Time after which a grant without a response is aborted.
GRANT_TIMEOUT_SECONDS = 1.0
#: Time that a release may take; the server first finishes its running requests for the keys.
RELEASE_TIMEOUT_SECONDS = 3.0
#: Renewals within the validity of one grant, so that several may fail before the keys are lost.
RENEWALS_PER_GRANT_COUNT = 4
#: Ratio of the lease over which the renewals of all ranges are spread. A new leader would otherwise
#: renew hundreds of ranges in one pass of its event loop and be late for its followers.
RENEWAL_SPREAD_RATIO = 0.125
#: Limits of the renewals that are started together: the most, as a ratio of the ranges, after a
#: step that was late, and a number that is allowed in any case.
MAX_RENEWED_RATIO = 0.25
MIN_RENEWAL_LIMIT_COUNT = 16
#: Delay before a failed renewal is retried.
RENEWAL_RETRY_SECONDS = 0.4
#: Time after a failed grant during which a server gets no further keys. It is limited because only
#: servers with keys are sent renewals that would clear the failure.
FAILURE_EXCLUSION_SECONDS = 2.0


class RangeGrants:
    """Writes assignments to the log, and sends the grants, renewals and releases.

    An assignment is written to the log before its grant is sent, so that every later leader knows
    which server may own which keys with which fence.

    :param log: replicated log
    :param fleet: servers and ranges
    :param calls: calls to servers
    :param settings: settings of the fleet
    :param lease: leader lease, without which nothing is sent
    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "calls",
        "checked_addresses",
        "clock",
        "expired_fences",
        "expiry",
        "failed_at",
        "fleet",
        "known_fences",
        "lease",
        "locks",
        "log",
        "pending_fences",
        "renewals_started_at",
        "renewed_at",
        "settings",
        "tasks",
        "unreachable_at",
    )

    def __init__(
        self,
        log: ReplicaLog,
        fleet: FleetState,
        calls: ServerCalls,
        settings: FleetSettings,
        lease: LeaderLease,
        clock: Clock,
    ) -> None:
        self.log = log
        self.fleet = fleet
        self.calls = calls
        self.settings = settings
        self.lease = lease
        self.clock = clock
        self.expiry = GrantExpiryTracker(clock, settings.hold)
        #: Fences of assignments whose grants have expired; they must not be renewed.
        self.expired_fences: set[int] = set()
        #: Fences whose expiry this leader tracks. The log may have applied an assignment shortly
        #: before its result arrives here; its keys are not free then.
        self.known_fences: set[int] = set()
        #: Fences whose first grant is still in progress.
        self.pending_fences: set[int] = set()
        #: Time of the last grant, by fence and first key.
        self.renewed_at: dict[tuple[int, int], float] = {}
        #: Time at which renewals were last started.
        self.renewals_started_at = -math.inf
        #: One lock per server: grants are sent one at a time, and none while a release starts,
        #: because a renewal must not overtake a release.
        self.locks: dict[str, asyncio.Lock] = {}
        #: Time of the last failed grant, by identity and incarnation of the server.
        self.failed_at: dict[tuple[str, int], float] = {}
        #: Time at which a server could not be reached, by identity and incarnation.
        self.unreachable_at: dict[tuple[str, int], float] = {}
        #: Addresses whose claims are being checked.
        self.checked_addresses: set[tuple[str, int]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        fleet.may_own_keys = self.may_own_keys

    def start_term(self) -> None:
        """Start as a new leader, assuming that the previous one renewed every grant until now."""
        ranges = list(self.fleet.state.ranges.all())
        self.expiry.assume_renewed(ranges)
        self.fleet.confirmed_fences = {assignment.fence for assignment in ranges}
        self.known_fences = set(self.fleet.confirmed_fences)
        self.fleet.ranges_changed()

    async def stop(self) -> None:
        """End all calls and clear the state that only a leader keeps."""
        await end_tasks(self.tasks)
        self.renewed_at.clear()
        self.locks.clear()
        self.failed_at.clear()
        self.unreachable_at.clear()
        self.expired_fences.clear()
        self.pending_fences.clear()
        self.checked_addresses.clear()

    def retain(self, fences: set[int]) -> None:
        """Remove the assignments that are no longer in the table."""
        # The table may contain a higher fence shortly before the expiry is carried over to it.
        self.expiry.retain(fences | self.pending_fences)
        self.expired_fences &= fences
        self.known_fences &= fences
        oldest = self.clock.now() - FAILURE_EXCLUSION_SECONDS
        self.failed_at = {server: at for server, at in self.failed_at.items() if at > oldest}

    def is_failing(self, identity: str, incarnation: int) -> bool:
        """Return whether the last grant to an incarnation of a server failed recently."""
        return (identity, incarnation) in self.failed_at

    def is_pending(self, fence: int) -> bool:
        """Return whether it is not known yet who owns the keys of a fence."""
        return fence in self.pending_fences or fence not in self.known_fences

    def may_own_keys(self, identity: str) -> bool:
        """Return whether a server may own keys by a grant of this or an earlier leader."""
        return next(self._possibly_owned(identity), None) is not None

    def check_claims(self) -> None:
        """Ask at the addresses that several servers name as their own."""
        for address, claim in list(self.fleet.claims.pending.items()):
            if address not in self.checked_addresses:
                self.checked_addresses.add(address)
                self._spawn(self._check_claim(claim))

    async def _check_claim(self, claim: ServerHeartbeat) -> None:
        """Find out whether the server whose address another one names has ended."""
        try:
            claimed = self.fleet.directory.claimed_member(claim)
            key = None if claimed is None else self._single_key_of(claimed)
            if claimed is None or key is None:
                # The server has no keys any more; the next heartbeat is recorded as usual.
                self.fleet.claims.drop(claim)
            elif await self._has_ended(claimed, key):
                self.fleet.claims.drop(claim)
                self.fleet.directory.replace(claim)
                self.fleet.servers_changed()
                events.CLAIM_PROVED.log(server=claim.identity, ended=key.identity)
            else:
                self.fleet.claims.refute(claim)
                events.CLAIM_REFUTED.log(server=claim.identity, owner=key.identity)
        except MedlarpassError as error:
            # The next heartbeat of the claimant leads to another check.
            self.fleet.claims.drop(claim)
            events.CLAIM_NOT_CHECKED.log(server=claim.identity, code=error.code)
        finally:
            self.checked_addresses.discard(claim.address)

    async def _has_ended(self, claimed: FleetMember, key: RangeAssignment) -> bool:
        """Return whether another server answers at the address of a server.

        The release of a single key names the server that is meant. It changes little there, since
        the next renewal returns the key, and nothing at a later incarnation.

        :raises MedlarpassError: there was no answer, or the lease is not held
        """
        async with self.locks.setdefault(key.identity, asyncio.Lock()):
            self._check_lease()
            self.renewed_at.pop((key.fence, key.first), None)
            try:
                await self.calls.release(
                    claimed.heartbeat, key, GRANT_TIMEOUT_SECONDS, shares_connection=False
                )
            except AnotherServerError:
                return True
            return False

    def _single_key_of(self, member: FleetMember) -> RangeAssignment | None:
        """Return the first key that a server may own, as a part of its assignment."""
        owned = next(self._possibly_owned(member.heartbeat.identity), None)
        return None if owned is None else owned.with_bounds(owned.first, owned.first)

    def _possibly_owned(self, identity: str) -> Iterator[RangeAssignment]:
        for assignment in self.fleet.state.ranges.all():
            # The expiry of a pending fence is not known yet.
            fence = assignment.fence
            may_own = self.is_pending(fence) or not self.expiry.is_expired(fence)
            if may_own and assignment.identity == identity:
                yield assignment

    def record_loss(self, assignment: RangeAssignment, reason: str) -> None:
        """Record that a server certainly no longer owns its keys."""
        if assignment.fence in self.expired_fences:
            return
        self.expiry.remove(assignment.fence)
        self.expired_fences.add(assignment.fence)
        self.fleet.confirmed_fences.discard(assignment.fence)
        events.RANGE_LOST.log(
            pool=assignment.pool,
            first=assignment.first,
            last=assignment.last,
            server=assignment.identity,
            fence=assignment.fence,
            reason=reason,
        )

    async def assign(
        self, assignments: list[RangeAssignment], handover: str = "", owners_stay: bool = False
    ) -> None:
        """Write assignments to the log and grant them.

        :param handover: handover that the last owner returned; empty when unknown
        :param owners_stay: whether the keys stay at their servers under a higher fence
        """
        if not assignments:
            return
        command = control_pb2.Command(
            assign_ranges=control_pb2.AssignRanges(
                assignments=[assignment.to_proto() for assignment in assignments]
            )
        )
        result = await self.log.propose(command)
        granted = [RangeAssignment.from_proto(message) for message in result.ranges.assignments]
        if owners_stay:
            for old, new in zip(assignments, granted, strict=True):
                self.expiry.carry_over(old.fence, new.fence)
                if old.fence in self.fleet.confirmed_fences:
                    self.fleet.confirmed_fences.add(new.fence)
        self.known_fences.update(new.fence for new in granted)
        if not self.lease.is_held:
            return
        events.RANGES_ASSIGNED.log(
            term=self.lease.term,
            ranges=[[new.first, new.last, new.identity, new.fence] for new in granted],
        )
        self.fleet.ranges_changed()
        for new in granted:
            self.pending_fences.add(new.fence)
            self._spawn(self._grant_first(new, handover))

    def refence(self, assignment: RangeAssignment) -> None:
        """Grant keys to their owner with a higher fence, so that late grants are rejected.

        After a restart of the server its newest incarnation gets them.
        """
        self.pending_fences.add(assignment.fence)
        self._spawn(self._refence(assignment))

    def renew(self) -> None:
        """Start the renewals that are due, those that wait longest first."""
        due_at = self.clock.now() - self.settings.hold / RENEWALS_PER_GRANT_COUNT
        due = []
        range_count = 0
        for assignment in self.fleet.state.ranges.all():
            range_count += 1
            if self._is_renewable(assignment):
                for part in self.fleet.parts_not_moving(assignment):
                    renewed_at = self.renewed_at.get((part.fence, part.first), 0.0)
                    if renewed_at <= due_at:
                        due.append((renewed_at, part))
        due.sort(key=itemgetter(0))
        for _, part in due[: self._renewal_limit(range_count)]:
            self._spawn(self._renew(part))

    def _is_renewable(self, assignment: RangeAssignment) -> bool:
        member = self.fleet.directory.members.get(assignment.identity)
        return (
            member is not None
            and member.heartbeat.incarnation == assignment.incarnation
            and self._is_reachable(member)
            and not self.is_pending(assignment.fence)
        )

    def _renewal_limit(self, range_count: int) -> int:
        """Return how many renewals may start now."""
        now = self.clock.now()
        elapsed, self.renewals_started_at = now - self.renewals_started_at, now
        ratio = min(elapsed / (self.settings.hold * RENEWAL_SPREAD_RATIO), MAX_RENEWED_RATIO)
        return max(math.ceil(range_count * ratio), MIN_RENEWAL_LIMIT_COUNT)

    async def wait_for_expiry(self, part: RangeAssignment) -> float:
        """Wait for the call in progress and return when the last grant of the keys expires.

        Later renewals leave out keys that are marked as moving and do not extend their grant. A
        renewal that was sent before must not arrive after the release either.
        """
        async with self.locks.setdefault(part.identity, asyncio.Lock()):
            return self.expiry.expires_at.get(part.fence, 0.0)

    async def release(self, part: RangeAssignment) -> str:
        """Release keys that are marked as moving from their server and return its handover.

        After a restart of the server the release goes to its newest incarnation, the only one that
        may still own the keys.

        :raises LeaseNotHeldError: another replica may lead; nothing was sent
        :raises ServerCallError: the server may still run requests for the keys
        """
        self._check_lease()
        member = self.fleet.directory.members.get(part.identity)
        if member is None or member.heartbeat.incarnation < part.incarnation:
            raise ServerNotReachedError(f"{part.identity} is no longer known")
        deadline = self.clock.now() + RELEASE_TIMEOUT_SECONDS
        try:
            return await self.calls.release(
                member.heartbeat, part, RELEASE_TIMEOUT_SECONDS, shares_connection=True
            )
        except ServerCallError:
            remaining = deadline - self.clock.now()
            if remaining <= 0:
                raise
        self._check_lease()
        # A release may be repeated. Without it the keys have no owner until their grant expires.
        return await self.calls.release(member.heartbeat, part, remaining, shares_connection=False)

    def _check_lease(self) -> None:
        if not self.lease.is_held:
            raise LeaseNotHeldError("another replica may lead")

    async def _grant_first(self, assignment: RangeAssignment, handover: str) -> None:
        try:
            # A response that ends the doubt about earlier grants must not be a late copy.
            needs_proof = not self.expiry.is_certain(assignment.fence)
            if await self._grant(assignment, handover, needs_proof):
                self.expiry.record_first_response(assignment.fence)
        finally:
            self.pending_fences.discard(assignment.fence)

    async def _refence(self, assignment: RangeAssignment) -> None:
        # The first grant of the old fence, whose end led here, has just removed its mark.
        self.pending_fences.add(assignment.fence)
        parts = self.fleet.parts_not_moving(assignment)
        newest = self.fleet.directory.newest_incarnation(assignment.identity)
        if newest > assignment.incarnation:
            self.fleet.confirmed_fences.discard(assignment.fence)
            parts = [part.with_incarnation(newest) for part in parts]
        try:
            await self.assign(parts, owners_stay=True)
        except MedlarpassError as error:
            # The old fence stays valid; a later step retries.
            events.REFENCE_FAILED.log(
                server=assignment.identity, fence=assignment.fence, code=error.code
            )
        finally:
            self.pending_fences.discard(assignment.fence)

    async def _renew(self, assignment: RangeAssignment) -> None:
        await self._grant(assignment, "", needs_proof=False)

    def _is_reachable(self, member: FleetMember) -> bool:
        """Return whether a server has sent a heartbeat since it could not be reached.

        Until then it may have ended. Another incarnation may listen at its address, which must not
        get keys with the fence of the previous one.
        """
        server = (member.heartbeat.identity, member.heartbeat.incarnation)
        if member.seen_at <= self.unreachable_at.get(server, -math.inf):
            return False
        self.unreachable_at.pop(server, None)
        return True

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _grant(self, assignment: RangeAssignment, handover: str, needs_proof: bool) -> bool:
        """Send a grant and return whether the server accepted it."""
        self.renewed_at[assignment.fence, assignment.first] = self.clock.now()
        member = self.fleet.directory.members.get(assignment.identity)
        if member is None or member.heartbeat.incarnation != assignment.incarnation:
            return False
        async with self.locks.setdefault(assignment.identity, asyncio.Lock()):
            if not self._is_in_force(assignment) or not self._is_reachable(member):
                return False
            previous_expiry = self.expiry.expires_at.get(assignment.fence, 0.0)
            self.expiry.record_sending(assignment.fence, GRANT_TIMEOUT_SECONDS)
            try:
                await self.calls.grant(
                    member.heartbeat,
                    assignment,
                    self.settings.hold,
                    handover,
                    GRANT_TIMEOUT_SECONDS,
                    needs_proof,
                    lambda: self._is_in_force(assignment),
                )
            except GrantOutdatedError:
                self.expiry.expires_at[assignment.fence] = previous_expiry
            except ServerNotReachedError as error:
                self.expiry.expires_at[assignment.fence] = previous_expiry
                self.unreachable_at[assignment.identity, assignment.incarnation] = self.clock.now()
                self._record_failure(assignment, error)
            except HigherFenceError as error:
                self.expiry.record_response(assignment.fence)
                self._record_failure(assignment, error)
                self.fleet.confirmed_fences.discard(assignment.fence)
                self.refence(assignment)
            except ServerCallError as error:
                self.expiry.record_no_response(assignment.fence)
                self._record_failure(assignment, error)
            else:
                self.expiry.record_response(assignment.fence)
                self._record_success(assignment)
                return True
        return False

    def _is_in_force(self, assignment: RangeAssignment) -> bool:
        """Return whether this replica may grant an assignment.

        It has to hold the lease, the log must have the whole assignment, and no part of it may be
        moving or belong to a server that has restarted.
        """
        if not self.lease.is_held or assignment.fence in self.expired_fences:
            return False
        if self.fleet.directory.has_restarted(assignment.identity, assignment.incarnation):
            return False
        if self.fleet.overlaps_moving(assignment.pool, assignment.first, assignment.last):
            return False
        return any(
            recorded.fence == assignment.fence
            and recorded.first <= assignment.first
            and assignment.last <= recorded.last
            for recorded in self.fleet.state.ranges.pools.get(assignment.pool, ())
        )

    def _record_success(self, assignment: RangeAssignment) -> None:
        server = (assignment.identity, assignment.incarnation)
        if self.failed_at.pop(server, None) is not None:
            events.GRANT_RESTORED.log(server=assignment.identity, fence=assignment.fence)
        if assignment.fence not in self.fleet.confirmed_fences:
            self.fleet.confirmed_fences.add(assignment.fence)
            self.fleet.ranges_changed()

    def _record_failure(self, assignment: RangeAssignment, error: ServerCallError) -> None:
        now = self.clock.now()
        self.renewed_at[assignment.fence, assignment.first] = (
            now + RENEWAL_RETRY_SECONDS - self.settings.hold / RENEWALS_PER_GRANT_COUNT
        )
        server = (assignment.identity, assignment.incarnation)
        is_new = server not in self.failed_at
        self.failed_at[server] = now
        if is_new:
            events.GRANT_FAILED.log(
                server=assignment.identity,
                fence=assignment.fence,
                code=error.code,
                held_for=self.expiry.expires_at.get(assignment.fence, 0.0) - now,
            )
