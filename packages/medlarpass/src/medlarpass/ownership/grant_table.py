"""Table of a domain's grants, kept by its coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.drift import grantor_term
from medlarpass.ownership.drift import holder_term
from medlarpass.ownership.events import DELEGATION_EXPIRED
from medlarpass.ownership.events import DELEGATION_TAKEN_BACK
from medlarpass.ownership.events import GRANTS_REVOKED
from medlarpass.ownership.events import KEY_ISOLATED
from medlarpass.ownership.events import KEY_MERGED
from medlarpass.ownership.exceptions import AlreadyGrantedError
from medlarpass.ownership.exceptions import EpochsPendingError
from medlarpass.ownership.exceptions import KeyNotReleasedError
from medlarpass.ownership.exceptions import NotDelegatedError
from medlarpass.ownership.exceptions import NotGrantedError
from medlarpass.ownership.exceptions import NotYetGrantableError
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.grant import CommittedGrants
from medlarpass.ownership.grant import Grant
from medlarpass.ownership.grant import HeldDelegation
from medlarpass.ownership.grant_index import GrantIndex
from medlarpass.ownership.shard import Assignment
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from medlarpass.clock import Clock

MILLISECONDS_PER_SECOND = 1000


class GrantTable:
    """Keeps at most one live grant per assignment; the fences of a shard only increase.

    Changes increment ``version``. The caller stores :meth:`record` with a majority and then calls
    :meth:`commit`; entries and servers receive committed grants only.

    :param clock: clock of the coordinator
    :param session_term: session term in seconds
    """

    __slots__ = (
        "clock",
        "clock_readings",
        "committed",
        "delegations",
        "earliest_expiry",
        "elected_at",
        "epochs_pending",
        "index",
        "isolating_keys",
        "last_sent_at",
        "revision",
        "session_term",
        "terms",
        "uncommitted",
        "version",
    )

    def __init__(self, clock: Clock, session_term: float) -> None:
        self.clock = clock
        self.session_term = session_term
        #: Incremented with every change in heartbeat responses, also one that keeps the version.
        self.revision = 0
        self.adopt(None, pb.Ballot(), needs_new_epochs=True)

    def adopt(
        self,
        record: pb.GrantRecord | None,
        ballot: pb.Ballot,
        needs_new_epochs: bool,
        entry: str = "",
    ) -> None:
        """Reset the table at the start of a coordinator's tenure.

        :param record: newest record that a majority of voters returned, or ``None``
        :param ballot: ballot of the election. Versions start from its number, so that a version is
            not used twice when the grants were lost.
        :param needs_new_epochs: whether the grants were lost
        :param entry: proposer name of this entry. If the record has a reading of its clock, the
            delegations stay valid for the rest of their terms without control; otherwise they are
            valid only after the next confirmed report.
        """
        self.elected_at = self.clock.now()
        self.revision += 1
        self.epochs_pending = needs_new_epochs
        self.last_sent_at = float("-inf")
        self.clock_readings: dict[str, float] = {}
        self.terms: dict[str, float] = {}
        self.earliest_expiry = float("inf")
        self.delegations: dict[tuple[str, int], HeldDelegation] = {}
        self.index = GrantIndex()
        self.isolating_keys: dict[Assignment, Fence] = {}
        self.uncommitted: dict[int, CommittedGrants] = {}
        self.committed = CommittedGrants(0, {}, frozenset())
        self.version = ballot.number
        if record is None or needs_new_epochs:
            return
        self.version = max(ballot.number, record.version + 1)
        self._adopt_report_times(record, entry)
        for delegation in record.delegations:
            expiry = self._delegation_expiry(delegation.pool)
            self.delegations[delegation.pool, delegation.shard] = HeldDelegation(
                delegation.epoch, expiry, delegation.release
            )
            if expiry:
                self.earliest_expiry = min(self.earliest_expiry, expiry)
        for grant in record.grants:
            assignment = Assignment(grant.pool, grant.shard, grant.key)
            self.index.put(
                Grant(assignment, Fence.from_int(grant.fence), grant.server, grant.incarnation)
            )
        for (pool, shard), held_delegation in self.delegations.items():
            if held_delegation.must_release:
                self._release_shard(pool, shard)

    def _adopt_report_times(self, record: pb.GrantRecord, entry: str) -> None:
        readings = {reading.entry: reading.seconds for reading in record.asked}
        sent_at = readings.get(entry)
        # Without a reading the terms are unknown. A reading from the future is from an earlier boot
        # of the VM.
        if sent_at is None or sent_at > self.clock.now():
            return
        self.last_sent_at = sent_at
        self.clock_readings = readings
        self.terms = {term.pool: term.term_ms / MILLISECONDS_PER_SECOND for term in record.terms}

    def _delegation_expiry(self, pool: str) -> float:
        if self.last_sent_at == float("-inf"):
            return 0.0
        return self.last_sent_at + holder_term(self.terms.get(pool, 0.0))

    def apply_report(
        self,
        response: control_pb2.DomainReportResponse,
        sent_at: float,
        readings: Mapping[str, float] | None = None,
    ) -> None:
        """Apply the delegations in the response to a report.

        :param response: response of the control leader
        :param sent_at: time before the report was sent; delegation terms start here
        :param readings: readings of the acceptors' clocks, taken before the report was sent. For a
            successor the terms start at the reading of its own clock.
        """
        if not response.confirmed or sent_at <= self.last_sent_at:
            return
        if self.epochs_pending and not response.new_epochs:
            return
        self.last_sent_at = sent_at
        self.epochs_pending = False
        self.clock_readings = dict(readings or {})
        self.terms = {term.pool: term.term_ms / MILLISECONDS_PER_SECOND for term in response.terms}
        listed = set()
        for delegation in response.delegations:
            listed.add((delegation.pool, delegation.shard))
            self._update_delegation(delegation, self._delegation_expiry(delegation.pool))
        for pool, shard in [shard_id for shard_id in self.delegations if shard_id not in listed]:
            DELEGATION_TAKEN_BACK.log(pool=pool, shard=shard)
            self._remove_delegation(pool, shard)
        expiries = (delegation.expiry for delegation in self.delegations.values())
        self.earliest_expiry = min(expiries, default=float("inf"))

    def end_expired(self) -> None:
        """End the grants of expired delegations.

        The delegations and fences are kept, because control may still renew the same epoch.
        Sessions were limited by the term, so no server still relies on these grants.
        """
        now = self.clock.now()
        if now < self.earliest_expiry:
            return
        for (pool, shard), delegation in self.delegations.items():
            if delegation.expiry == 0.0 or now < delegation.expiry:
                continue
            grants = [
                self.grants[assignment]
                for assignment in self.index.assignments_of_shard(pool, shard)
            ]
            live_grants = [grant for grant in grants if grant.is_live]
            for grant in live_grants:
                self._end_grant(grant)
            if live_grants:
                DELEGATION_EXPIRED.log(pool=pool, shard=shard, epoch=delegation.epoch)

    def grantable_assignments(self) -> Iterator[Assignment]:
        """Yield the assignments without an owner that may be granted now."""
        for pool, shard in self.delegations:
            shard_assignment = Assignment(pool, shard)
            for assignment in self.index.assignments_of_shard(pool, shard) | {shard_assignment}:
                grant = self.grants.get(assignment)
                if (grant is None or not grant.is_live) and self._grant_refusal(assignment) is None:
                    yield assignment

    def grant(self, assignment: Assignment, server: str, incarnation: int) -> Grant:
        """Grant an assignment that has no owner to a server.

        :param assignment: shard or isolated key
        :param server: identity of the new owner
        :param incarnation: incarnation of the new owner
        :raises EpochsPendingError: the grants were lost and control has not yet given new epochs
        :raises NotDelegatedError: the shard is not delegated to this domain, or has to be released
            to control
        :raises AlreadyGrantedError: the assignment has a live grant
        :raises KeyNotReleasedError: the key is not isolated, or the shard's owner has not released
            it
        :raises NotYetGrantableError: an unknown server may hold the shard from before the election
        """
        refusal = self._grant_refusal(assignment)
        if refusal is not None:
            raise refusal
        current = self.grants.get(assignment)
        if current is not None and current.is_live:
            raise AlreadyGrantedError(f"{assignment} is granted to {current.server}")
        if assignment.key is not None and current is None:
            raise KeyNotReleasedError(
                f"{assignment} has not been released by the owner of its shard"
            )
        grant = Grant(assignment, self._next_fence(assignment), server, incarnation)
        self.index.put(grant)
        self._increment_version()
        return grant

    def start_release(self, assignment: Assignment) -> None:
        """Request the owner to release an assignment, with the next heartbeat response.

        :param assignment: shard or isolated key
        :raises NotGrantedError: the assignment has no live grant
        """
        grant = self.grants.get(assignment)
        if grant is None or not grant.is_live:
            raise NotGrantedError(f"{assignment} has no live grant")
        grant.releasing = True
        self.revision += 1

    def confirm_release(
        self, assignment: Assignment, fence: Fence, server: str, incarnation: int
    ) -> bool:
        """End a grant that its owner has released, whether it was requested or not.

        :param assignment: shard or key that the server has stopped serving
        :param fence: fence of the released grant; for a key that is being isolated, the fence
            of its shard's grant
        :param server: identity of the server
        :param incarnation: incarnation of the server
        :returns: whether the release changed the table; a stale or repeated one does not
        """
        if assignment.key is not None and self._confirm_key_release(
            assignment, fence, server, incarnation
        ):
            return True
        grant = self.grants.get(assignment)
        if grant is None or not grant.is_live:
            return False
        if (grant.fence, grant.server, grant.incarnation) != (fence, server, incarnation):
            return False
        self._end_grant(grant)
        return True

    @property
    def grants(self) -> Mapping[Assignment, Grant]:
        """All grants of this domain, including those without an owner."""
        return self.index.grants

    @property
    def is_ready(self) -> bool:
        """Whether a majority has stored a record of this tenure."""
        return self.committed.version > 0

    def revoke(self, server: str, incarnation: int) -> list[Assignment]:
        """End all grants of an incarnation whose session has ended.

        :param server: identity of the server
        :param incarnation: incarnation whose session has ended
        :returns: assignments that now have no owner
        """
        ended = self.index.grants_of_server(server, incarnation)
        for grant in ended:
            self._end_grant(grant)
        if ended:
            GRANTS_REVOKED.log(server=server, incarnation=incarnation, count=len(ended))
        return [grant.assignment for grant in ended]

    def isolate(self, pool: str, shard: int, key: str) -> Assignment:
        """Isolate a key from its shard; the shard's owner has to release it before it is granted.

        :param pool: name of the pool
        :param shard: shard of the key
        :param key: hot key
        :raises NotDelegatedError: the shard is not delegated to this domain, or has to be released
            to control
        :raises NotYetGrantableError: an unknown server may hold the shard from before the election
        """
        assignment = Assignment(pool, shard, key)
        if assignment in self.grants or assignment in self.isolating_keys:
            return assignment
        refusal = self._grant_refusal(assignment)
        if refusal is not None:
            raise refusal
        KEY_ISOLATED.log(pool=pool, shard=shard, key=key)
        shard_grant = self.grants.get(assignment.shard_assignment)
        if shard_grant is not None and shard_grant.is_live:
            self.isolating_keys[assignment] = shard_grant.fence
            self.revision += 1
            return assignment
        self._add_free_key(assignment)
        return assignment

    def merge(self, assignment: Assignment) -> bool:
        """Merge an isolated key with its shard; a key with an owner has to be released first.

        The shard's owner gets a new fence, because with the old one it refuses the key permanently.

        :param assignment: isolated key
        :returns: whether the key is part of its shard again
        """
        if self.isolating_keys.pop(assignment, None) is not None:
            self._renew_fence(assignment.shard_assignment)
            return True
        key_grant = self.grants.get(assignment)
        if assignment.key is None or key_grant is None or key_grant.is_live:
            return False
        shard_grant = self.grants.get(assignment.shard_assignment)
        if shard_grant is None:
            shard_grant = Grant(assignment.shard_assignment, key_grant.fence)
            self.index.put(shard_grant)
        if shard_grant.is_live:
            self._renew_fence(assignment.shard_assignment)
        shard_grant = self.grants[assignment.shard_assignment]
        shard_grant.fence = max(shard_grant.fence, key_grant.fence)
        self.index.remove(assignment)
        self._increment_version()
        KEY_MERGED.log(pool=assignment.pool, shard=assignment.shard, key=assignment.key)
        return True

    def session_limit(self, server: str, incarnation: int) -> float:
        """Return the maximum session term that a response may grant to a server, in seconds.

        A session must not outlive the delegation of any of the server's grants.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        now = self.clock.now()
        limit = self.session_term
        if self.last_sent_at > float("-inf") and self.earliest_expiry - now >= limit:
            return limit
        for grant in self.index.grants_of_server(server, incarnation):
            delegation = self.delegations[grant.assignment.pool, grant.assignment.shard]
            limit = min(limit, delegation.expiry - now)
        return max(0.0, limit)

    def grants_of(self, server: str, incarnation: int) -> list[control_pb2.GrantStatus]:
        """Return the grants to send to a server: those that are committed and still live.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        return [
            grant.to_proto()
            for grant in self.index.grants_of_server(server, incarnation)
            if self._is_committed(grant)
        ]

    def committed_count(self, server: str, incarnation: int) -> int:
        """Return the number of committed grants of a server, live or not.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        return self.committed.grant_counts[server, incarnation]

    def releases_for(self, server: str, incarnation: int) -> list[pb.ReleasedGrant]:
        """Return what a server has to stop serving: releases, and isolated keys of its shards.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        result: list[pb.ReleasedGrant] = []
        for grant in self.index.grants_of_server(server, incarnation):
            if grant.releasing:
                result.append(_released_grant(grant.assignment, grant.fence))
            if grant.assignment.key is None:
                result.extend(
                    _released_grant(key, grant.fence) for key in self._keys_of_other_owners(grant)
                )
        for assignment, fence in self.isolating_keys.items():
            shard_grant = self.grants[assignment.shard_assignment]
            if self._is_owned_by(shard_grant, server, incarnation):
                result.append(_released_grant(assignment, fence))
        return result

    def holders(self) -> set[tuple[str, int]]:
        """Return identity and incarnation of every server with a live grant."""
        return {
            (grant.server, grant.incarnation) for grant in self.grants.values() if grant.is_live
        }

    def committed_grants(self) -> list[control_pb2.GrantStatus]:
        """Return the committed grants in the form that entries receive."""
        return [
            Grant(assignment, fence, server, incarnation).to_proto()
            for assignment, (server, incarnation, fence) in self.committed.grants.items()
        ]

    def released_delegations(self) -> list[control_pb2.ShardEpoch]:
        """Return the delegations to report to control as released.

        Only committed releases are reported: a successor without the release could grant the shard
        again.
        """
        return [
            control_pb2.ShardEpoch(pool=pool, shard=shard, epoch=epoch)
            for pool, shard, epoch in sorted(self.committed.released)
        ]

    def record(self, ballot: pb.Ballot) -> pb.GrantRecord:
        """Return the record of the current version, to be stored with a majority.

        :param ballot: current ballot of the lease
        :raises EpochsPendingError: the grants were lost and control has not yet given new epochs. A
            record stored now would be taken as the complete history by a successor.
        """
        if self.epochs_pending:
            raise EpochsPendingError("grants were lost; new epochs are pending")
        self.uncommitted[self.version] = CommittedGrants(
            self.version,
            {
                grant.assignment: (grant.server, grant.incarnation, grant.fence)
                for grant in self.grants.values()
                if grant.is_live
            },
            frozenset(self._released_delegations()),
        )
        return pb.GrantRecord(
            ballot=ballot,
            version=self.version,
            grants=[grant.to_proto() for grant in self.grants.values()],
            delegations=[
                control_pb2.ShardDelegation(
                    pool=pool, shard=shard, epoch=delegation.epoch, release=delegation.must_release
                )
                for (pool, shard), delegation in self.delegations.items()
            ],
            asked=[
                pb.ClockReading(entry=entry, seconds=seconds)
                for entry, seconds in self.clock_readings.items()
            ],
            terms=[
                control_pb2.PoolTerm(pool=pool, term_ms=round(term * MILLISECONDS_PER_SECOND))
                for pool, term in self.terms.items()
            ],
        )

    def commit(self, version: int) -> None:
        """Mark a version as committed, unless a newer one already is.

        :param version: version of a record that a majority has stored
        """
        stored = self.uncommitted.get(version)
        if stored is None or version < self.committed.version:
            return
        self.committed = stored
        self.revision += 1
        self.uncommitted = {
            later: grants for later, grants in self.uncommitted.items() if later > version
        }

    def _keys_of_other_owners(self, shard_grant: Grant) -> list[Assignment]:
        """Return the isolated keys of a shard that its owner must not serve.

        Keys that the owner holds itself are omitted: a release with the fence of the shard would
        also be final for a lower fence of the key.
        """
        assignments = self.index.assignments_of_shard(
            shard_grant.assignment.pool, shard_grant.assignment.shard
        )
        return [
            assignment
            for assignment in assignments
            if assignment.key is not None
            and not self._is_owned_by(
                self.grants[assignment], shard_grant.server, shard_grant.incarnation
            )
        ]

    def _is_owned_by(self, grant: Grant, server: str, incarnation: int) -> bool:
        return grant.server == server and grant.incarnation == incarnation

    def _is_committed(self, grant: Grant) -> bool:
        committed = self.committed.grants.get(grant.assignment)
        return committed == (grant.server, grant.incarnation, grant.fence)

    def _increment_version(self) -> None:
        self.version += 1
        self.revision += 1

    def _grant_refusal(self, assignment: Assignment) -> Exception | None:
        if self.epochs_pending:
            return EpochsPendingError("grants were lost; new epochs are pending")
        delegation = self.delegations.get((assignment.pool, assignment.shard))
        if delegation is None or delegation.must_release or self.clock.now() >= delegation.expiry:
            return NotDelegatedError(f"{assignment} is currently not delegated to this domain")
        was_granted = bool(self.index.assignments_of_shard(assignment.pool, assignment.shard))
        election_wait_elapsed = self.clock.now() - self.elected_at >= grantor_term(
            self.session_term
        )
        if not was_granted and not election_wait_elapsed:
            return NotYetGrantableError(
                f"{assignment} cannot be granted until one session term after the election"
            )
        return None

    def _next_fence(self, assignment: Assignment) -> Fence:
        shard_id = (assignment.pool, assignment.shard)
        fences = [
            self.grants[granted].fence for granted in self.index.assignments_of_shard(*shard_id)
        ]
        return max(fences, default=Fence(0, 0)).next_in(self.delegations[shard_id].epoch)

    def _renew_fence(self, assignment: Assignment) -> None:
        grant = self.grants[assignment]
        fence = self._next_fence(assignment)
        for key in list(self.isolating_keys):
            if key.shard_assignment == assignment:
                self.isolating_keys[key] = fence
        self.index.put(Grant(assignment, fence, grant.server, grant.incarnation, grant.releasing))
        self._increment_version()

    def _end_grant(self, grant: Grant) -> None:
        self.index.put(Grant(grant.assignment, grant.fence))
        for key in [
            isolating
            for isolating in self.isolating_keys
            if isolating.shard_assignment == grant.assignment
        ]:
            del self.isolating_keys[key]
            self._add_free_key(key)
        self._increment_version()

    def _add_free_key(self, assignment: Assignment) -> None:
        shard_id = (assignment.pool, assignment.shard)
        shard_grant = self.grants.get(assignment.shard_assignment)
        fence = (
            shard_grant.fence
            if shard_grant is not None
            else Fence(self.delegations[shard_id].epoch, 0)
        )
        if shard_grant is None:
            self.index.put(Grant(assignment.shard_assignment, fence))
        self.index.put(Grant(assignment, fence))
        self._increment_version()

    def _confirm_key_release(
        self, assignment: Assignment, fence: Fence, server: str, incarnation: int
    ) -> bool:
        shard_grant = self.grants.get(assignment.shard_assignment)
        if (
            shard_grant is None
            or not self._is_owned_by(shard_grant, server, incarnation)
            or shard_grant.fence != fence
        ):
            return False
        if self.isolating_keys.get(assignment) == fence:
            del self.isolating_keys[assignment]
            self._add_free_key(assignment)
            return True
        if assignment in self.grants:
            return False
        # The server released the key for a coordinator whose isolation of it was lost, and refuses
        # it permanently with the current fence.
        self._renew_fence(assignment.shard_assignment)
        return True

    def _update_delegation(self, received: control_pb2.ShardDelegation, expiry: float) -> None:
        shard_id = (received.pool, received.shard)
        current = self.delegations.get(shard_id)
        if current is not None and received.epoch < current.epoch:
            return
        must_release = received.release
        if current is not None and received.epoch == current.epoch:
            # A release is never undone within an epoch: a successor or an earlier response may
            # already rely on it.
            must_release = must_release or current.must_release
            expiry = max(expiry, current.expiry)
        updated = HeldDelegation(received.epoch, expiry, must_release)
        if current is None or (current.epoch, current.must_release) != (
            updated.epoch,
            updated.must_release,
        ):
            self._increment_version()
        self.delegations[shard_id] = updated
        if must_release:
            self._release_shard(received.pool, received.shard)

    def _release_shard(self, pool: str, shard: int) -> None:
        for assignment in self.index.assignments_of_shard(pool, shard):
            grant = self.grants[assignment]
            grant.releasing = grant.is_live
        self.revision += 1

    def _remove_delegation(self, pool: str, shard: int) -> None:
        del self.delegations[pool, shard]
        for assignment in list(self.index.assignments_of_shard(pool, shard)):
            self.index.remove(assignment)
        for key in [
            assignment
            for assignment in self.isolating_keys
            if (assignment.pool, assignment.shard) == (pool, shard)
        ]:
            del self.isolating_keys[key]
        self._increment_version()

    def _released_delegations(self) -> Iterable[tuple[str, int, int]]:
        for (pool, shard), delegation in self.delegations.items():
            assignments = self.index.assignments_of_shard(pool, shard)
            if delegation.must_release and not any(
                self.grants[assignment].is_live for assignment in assignments
            ):
                yield (pool, shard, delegation.epoch)


def _released_grant(assignment: Assignment, fence: Fence) -> pb.ReleasedGrant:
    return pb.ReleasedGrant(
        pool=assignment.pool,
        shard=assignment.shard,
        key=assignment.key or "",
        fence=fence.to_int(),
    )
