"""Grants of a domain, kept by its coordinator."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.drift import granted_term
from medlarpass.ownership.drift import held_term
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

MILLISECONDS = 1000


class GrantTable:
    """Aggregate that keeps at most one live grant per assignment, with fences that only grow per
    shard.

    Changes raise ``version``. The caller stores :meth:`record` with a majority and then calls
    :meth:`commit`; readers and servers see committed grants only.

    :param clock: the coordinator's clock
    :param session_term: session term in seconds
    """

    __slots__ = (
        "acquired_at",
        "asked",
        "carving",
        "clock",
        "committed",
        "delegations",
        "earliest_expiry",
        "epochs_pending",
        "index",
        "last_asked_at",
        "pending",
        "revision",
        "session_term",
        "terms",
        "version",
    )

    def __init__(self, clock: Clock, session_term: float) -> None:
        self.clock = clock
        self.session_term = session_term
        #: Grows with everything that a server is told, also with what changes no version.
        self.revision = 0
        self.adopt(None, pb.Ballot(), needs_new_epochs=True)

    def adopt(
        self,
        record: pb.GrantRecord | None,
        ballot: pb.Ballot,
        needs_new_epochs: bool,
        entry: str = "",
    ) -> None:
        """Start the term of office of a coordinator that has just been elected.

        :param record: newest record of a majority of voters, or ``None``
        :param ballot: ballot of the election. Versions start from its number, so that a version is
            not used twice when the grants were lost.
        :param needs_new_epochs: whether the grants were lost
        :param entry: name of this start of the entry. If the record has a reading of its clock, the
            delegations go on for the rest of their terms without control; otherwise they wait for
            the next confirmed report.
        """
        self.acquired_at = self.clock.now()
        self.revision += 1
        self.epochs_pending = needs_new_epochs
        self.last_asked_at = float("-inf")
        self.asked: dict[str, float] = {}
        self.terms: dict[str, float] = {}
        self.earliest_expiry = float("inf")
        self.delegations: dict[tuple[str, int], HeldDelegation] = {}
        self.index = GrantIndex()
        self.carving: dict[Assignment, Fence] = {}
        self.pending: dict[int, CommittedGrants] = {}
        self.committed = CommittedGrants(0, {}, frozenset())
        self.version = ballot.number
        if record is None or needs_new_epochs:
            return
        self.version = max(ballot.number, record.version + 1)
        self._adopt_report(record, entry)
        for held in record.delegations:
            expiry = self._expiry(held.pool)
            self.delegations[held.pool, held.shard] = HeldDelegation(
                held.epoch, expiry, held.release
            )
            if expiry:
                self.earliest_expiry = min(self.earliest_expiry, expiry)
        for item in record.grants:
            assignment = Assignment(item.pool, item.shard, item.key)
            self.index.put(
                Grant(assignment, Fence.from_int(item.fence), item.server, item.incarnation)
            )
        for (pool, shard), each in self.delegations.items():
            if each.release:
                self._release_all(pool, shard)

    def _adopt_report(self, record: pb.GrantRecord, entry: str) -> None:
        readings = {each.entry: each.seconds for each in record.asked}
        asked_at = readings.get(entry)
        # Without a reading nothing is known; one from the future is of an earlier boot of the VM.
        if asked_at is None or asked_at > self.clock.now():
            return
        self.last_asked_at = asked_at
        self.asked = readings
        self.terms = {each.pool: each.term_ms / MILLISECONDS for each in record.terms}

    def _expiry(self, pool: str) -> float:
        if self.last_asked_at == float("-inf"):
            return 0.0
        return self.last_asked_at + held_term(self.terms.get(pool, 0.0))

    def apply_report(
        self,
        response: control_pb2.DomainReportResponse,
        asked_at: float,
        readings: Mapping[str, float] | None = None,
    ) -> None:
        """Take over the delegations from an answer to a report.

        :param response: answer of the control leader
        :param asked_at: time before the report was sent; terms count from here
        :param readings: readings of the acceptors' clocks, taken before the report was sent. A
            successor counts the terms from the reading of its own clock.
        """
        if not response.confirmed or asked_at <= self.last_asked_at:
            return
        if self.epochs_pending and not response.new_epochs:
            return
        self.last_asked_at = asked_at
        self.epochs_pending = False
        self.asked = dict(readings or {})
        self.terms = {each.pool: each.term_ms / MILLISECONDS for each in response.terms}
        listed = set()
        for item in response.delegations:
            listed.add((item.pool, item.shard))
            self._take(item, self._expiry(item.pool))
        for pool, shard in [each for each in self.delegations if each not in listed]:
            DELEGATION_TAKEN_BACK.log(pool=pool, shard=shard)
            self._drop(pool, shard)
        expiries = (each.expiry for each in self.delegations.values())
        self.earliest_expiry = min(expiries, default=float("inf"))

    def end_expired(self) -> None:
        """End the grants of delegations whose term has ended.

        The delegations and fences stay known, because control may still renew the same epoch.
        Sessions were limited by the term, so no server counts on these grants any more.
        """
        now = self.clock.now()
        if now < self.earliest_expiry:
            return
        for (pool, shard), each in self.delegations.items():
            if each.expiry == 0.0 or now < each.expiry:
                continue
            parts = [self.grants[part] for part in self.index.parts(pool, shard)]
            live = [part for part in parts if part.is_live]
            for grant in live:
                self._end(grant)
            if live:
                DELEGATION_EXPIRED.log(pool=pool, shard=shard, epoch=each.epoch)

    def grantable(self) -> Iterator[Assignment]:
        """Yield the assignments without owner that may be granted now."""
        for pool, shard in self.delegations:
            whole = Assignment(pool, shard)
            for each in self.index.parts(pool, shard) | {whole}:
                present = self.grants.get(each)
                if (present is None or not present.is_live) and self._refusal(each) is None:
                    yield each

    def grant(self, assignment: Assignment, server: str, incarnation: int) -> Grant:
        """Grant an assignment that has no owner.

        :param assignment: shard or isolated key
        :param server: identity of the new owner
        :param incarnation: incarnation of the new owner
        :raises EpochsPendingError: the grants were lost and control has not yet given new epochs
        :raises NotDelegatedError: the shard is not delegated to this domain, or has to be given
            back
        :raises AlreadyGrantedError: the assignment has a live grant
        :raises KeyNotReleasedError: the key is not isolated, or the shard's owner has not released
            it
        :raises NotYetGrantableError: an unknown server may hold the shard from before the election
        """
        refusal = self._refusal(assignment)
        if refusal is not None:
            raise refusal
        present = self.grants.get(assignment)
        if present is not None and present.is_live:
            raise AlreadyGrantedError(f"{assignment} is granted to {present.server}")
        if assignment.key is not None and present is None:
            raise KeyNotReleasedError(f"{assignment} is not released by the owner of its shard")
        grant = Grant(assignment, self._next_fence(assignment), server, incarnation)
        self.index.put(grant)
        self._changed()
        return grant

    def start_release(self, assignment: Assignment) -> None:
        """Ask the owner to release an assignment; the owner is told with its next answer.

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
        """End a grant that its owner has released, asked or not.

        :param assignment: shard or key that the server has stopped serving
        :param fence: fence of the grant that is released; for a key that is being isolated, of its
            shard's grant
        :param server: identity of the server
        :param incarnation: incarnation of the server
        :returns: whether the confirmation ended something; a stale or repeated one does not
        """
        if assignment.key is not None and self._confirm_key(assignment, fence, server, incarnation):
            return True
        grant = self.grants.get(assignment)
        if grant is None or not grant.is_live:
            return False
        if (grant.fence, grant.server, grant.incarnation) != (fence, server, incarnation):
            return False
        self._end(grant)
        return True

    @property
    def grants(self) -> Mapping[Assignment, Grant]:
        """All grants of this domain, those without owner included."""
        return self.index.grants

    @property
    def is_ready(self) -> bool:
        """Whether a majority has stored a record of this term of office."""
        return self.committed.version > 0

    def revoke(self, server: str, incarnation: int) -> list[Assignment]:
        """End all grants of an incarnation whose session has ended.

        :param server: identity of the server
        :param incarnation: incarnation whose session has ended
        :returns: assignments that now have no owner
        """
        ended = self.index.owned(server, incarnation)
        for grant in ended:
            self._end(grant)
        if ended:
            GRANTS_REVOKED.log(server=server, incarnation=incarnation, count=len(ended))
        return [each.assignment for each in ended]

    def isolate(self, pool: str, shard: int, key: str) -> Assignment:
        """Separate a key from its shard; the shard's owner has to release it before it is granted.

        :param pool: name of the pool
        :param shard: shard of the key
        :param key: hot key
        :raises NotDelegatedError: the shard is not delegated to this domain, or has to be given
            back
        :raises NotYetGrantableError: an unknown server may hold the shard from before the election
        """
        assignment = Assignment(pool, shard, key)
        if assignment in self.grants or assignment in self.carving:
            return assignment
        refusal = self._refusal(assignment)
        if refusal is not None:
            raise refusal
        KEY_ISOLATED.log(pool=pool, shard=shard, key=key)
        present = self.grants.get(assignment.whole)
        if present is not None and present.is_live:
            self.carving[assignment] = present.fence
            self.revision += 1
            return assignment
        self._free_key(assignment)
        return assignment

    def merge(self, assignment: Assignment) -> bool:
        """Join a key without owner with its shard again; release it first when it has one.

        The shard's owner gets a new fence, because it refuses the key for good under the old one.

        :param assignment: isolated key
        :returns: whether the key is part of its shard again
        """
        if self.carving.pop(assignment, None) is not None:
            self._renew_fence(assignment.whole)
            return True
        present = self.grants.get(assignment)
        if assignment.key is None or present is None or present.is_live:
            return False
        whole = self.grants.get(assignment.whole)
        if whole is None:
            whole = Grant(assignment.whole, present.fence)
            self.index.put(whole)
        if whole.is_live:
            self._renew_fence(assignment.whole)
        whole = self.grants[assignment.whole]
        whole.fence = max(whole.fence, present.fence)
        self.index.remove(assignment)
        self._changed()
        KEY_MERGED.log(pool=assignment.pool, shard=assignment.shard, key=assignment.key)
        return True

    def session_limit(self, server: str, incarnation: int) -> float:
        """Return the longest session term that an answer may grant to a server, in seconds.

        A session must not outlive a delegation that one of the server's grants stands on.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        now = self.clock.now()
        limit = self.session_term
        if self.last_asked_at > float("-inf") and self.earliest_expiry - now >= limit:
            return limit
        for grant in self.index.owned(server, incarnation):
            held = self.delegations[grant.assignment.pool, grant.assignment.shard]
            limit = min(limit, held.expiry - now)
        return max(0.0, limit)

    def grants_of(self, server: str, incarnation: int) -> list[control_pb2.GrantStatus]:
        """Return the grants that a server may be told: committed and still live.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        return [
            grant.to_proto()
            for grant in self.index.owned(server, incarnation)
            if self._is_committed(grant)
        ]

    def committed_count(self, server: str, incarnation: int) -> int:
        """Return the number of committed grants of a server, live or not.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        return self.committed.counts[server, incarnation]

    def release_of(self, server: str, incarnation: int) -> list[pb.ReleasedGrant]:
        """Return everything that a server has to stop serving: releases, and isolated keys of its
        shards.

        :param server: identity of the server
        :param incarnation: incarnation of the server
        """
        result: list[pb.ReleasedGrant] = []
        for grant in self.index.owned(server, incarnation):
            if grant.releasing:
                result.append(_release(grant.assignment, grant.fence))
            if grant.assignment.key is None:
                result.extend(_release(key, grant.fence) for key in self._foreign_keys(grant))
        for assignment, fence in self.carving.items():
            whole = self.grants[assignment.whole]
            if self._is_of(whole, server, incarnation):
                result.append(_release(assignment, fence))
        return result

    def holders(self) -> set[tuple[str, int]]:
        """Return identity and incarnation of every server with a live grant."""
        return {(each.server, each.incarnation) for each in self.grants.values() if each.is_live}

    def visible(self) -> list[control_pb2.GrantStatus]:
        """Return the committed grants, for entries."""
        return [
            Grant(assignment, fence, server, incarnation).to_proto()
            for assignment, (server, incarnation, fence) in self.committed.grants.items()
        ]

    def released_shards(self) -> list[control_pb2.ShardEpoch]:
        """Return the delegations to be reported as given back.

        Only committed ones: a successor that did not know of the release could grant the shard
        again.
        """
        return [
            control_pb2.ShardEpoch(pool=pool, shard=shard, epoch=epoch)
            for pool, shard, epoch in sorted(self.committed.released)
        ]

    def record(self, ballot: pb.Ballot) -> pb.GrantRecord:
        """Return the record of the present version, to be stored with a majority.

        :param ballot: present ballot of the lease
        :raises EpochsPendingError: the grants were lost and control has not yet given new epochs. A
            record stored now would make a successor believe that it has the history.
        """
        if self.epochs_pending:
            raise EpochsPendingError("grants were lost; new epochs are pending")
        self.pending[self.version] = CommittedGrants(
            self.version,
            {
                each.assignment: (each.server, each.incarnation, each.fence)
                for each in self.grants.values()
                if each.is_live
            },
            frozenset(self._given_back()),
        )
        return pb.GrantRecord(
            ballot=ballot,
            version=self.version,
            grants=[each.to_proto() for each in self.grants.values()],
            delegations=[
                control_pb2.ShardDelegation(
                    pool=pool, shard=shard, epoch=each.epoch, release=each.release
                )
                for (pool, shard), each in self.delegations.items()
            ],
            asked=[
                pb.ClockReading(entry=entry, seconds=seconds)
                for entry, seconds in self.asked.items()
            ],
            terms=[
                control_pb2.PoolTerm(pool=pool, term_ms=round(term * MILLISECONDS))
                for pool, term in self.terms.items()
            ],
        )

    def commit(self, version: int) -> None:
        """Make a version visible; an older one than the visible one is ignored.

        :param version: version of a record that a majority has stored
        """
        stored = self.pending.get(version)
        if stored is None or version < self.committed.version:
            return
        self.committed = stored
        self.revision += 1
        self.pending = {each: state for each, state in self.pending.items() if each > version}

    def _foreign_keys(self, whole: Grant) -> list[Assignment]:
        """Return the isolated keys of a shard that its owner must not serve.

        A key of its own is left out: a release at the fence of the shard would be final for a
        lower fence of the key too.
        """
        parts = self.index.parts(whole.assignment.pool, whole.assignment.shard)
        return [
            each
            for each in parts
            if each.key is not None
            and not self._is_of(self.grants[each], whole.server, whole.incarnation)
        ]

    def _is_of(self, grant: Grant, server: str, incarnation: int) -> bool:
        return grant.server == server and grant.incarnation == incarnation

    def _is_committed(self, grant: Grant) -> bool:
        known = self.committed.grants.get(grant.assignment)
        return known == (grant.server, grant.incarnation, grant.fence)

    def _changed(self) -> None:
        self.version += 1
        self.revision += 1

    def _refusal(self, assignment: Assignment) -> Exception | None:
        if self.epochs_pending:
            return EpochsPendingError("grants were lost; new epochs are pending")
        held = self.delegations.get((assignment.pool, assignment.shard))
        if held is None or held.release or self.clock.now() >= held.expiry:
            return NotDelegatedError(f"{assignment} is not delegated to this domain for now")
        known_free = bool(self.index.parts(assignment.pool, assignment.shard))
        waited = self.clock.now() - self.acquired_at >= granted_term(self.session_term)
        if not known_free and not waited:
            return NotYetGrantableError(f"{assignment} waits for one session term after election")
        return None

    def _next_fence(self, assignment: Assignment) -> Fence:
        place = (assignment.pool, assignment.shard)
        fences = [self.grants[each].fence for each in self.index.parts(*place)]
        return max(fences, default=Fence(0, 0)).next_in(self.delegations[place].epoch)

    def _renew_fence(self, assignment: Assignment) -> None:
        grant = self.grants[assignment]
        fence = self._next_fence(assignment)
        for each in list(self.carving):
            if each.whole == assignment:
                self.carving[each] = fence
        self.index.put(Grant(assignment, fence, grant.server, grant.incarnation, grant.releasing))
        self._changed()

    def _end(self, grant: Grant) -> None:
        self.index.put(Grant(grant.assignment, grant.fence))
        for key in [each for each in self.carving if each.whole == grant.assignment]:
            del self.carving[key]
            self._free_key(key)
        self._changed()

    def _free_key(self, assignment: Assignment) -> None:
        place = (assignment.pool, assignment.shard)
        whole = self.grants.get(assignment.whole)
        fence = whole.fence if whole is not None else Fence(self.delegations[place].epoch, 0)
        if whole is None:
            self.index.put(Grant(assignment.whole, fence))
        self.index.put(Grant(assignment, fence))
        self._changed()

    def _confirm_key(
        self, assignment: Assignment, fence: Fence, server: str, incarnation: int
    ) -> bool:
        whole = self.grants.get(assignment.whole)
        if whole is None or not self._is_of(whole, server, incarnation) or whole.fence != fence:
            return False
        if self.carving.get(assignment) == fence:
            del self.carving[assignment]
            self._free_key(assignment)
            return True
        if assignment in self.grants:
            return False
        # The server released the key to a coordinator whose isolation was lost, and refuses it for
        # good.
        self._renew_fence(assignment.whole)
        return True

    def _take(self, item: control_pb2.ShardDelegation, expiry: float) -> None:
        place = (item.pool, item.shard)
        present = self.delegations.get(place)
        if present is not None and item.epoch < present.epoch:
            return
        release = item.release
        if present is not None and item.epoch == present.epoch:
            # A successor or an earlier answer may already have counted on the release.
            release = release or present.release
            expiry = max(expiry, present.expiry)
        taken = HeldDelegation(item.epoch, expiry, release)
        if present is None or (present.epoch, present.release) != (taken.epoch, taken.release):
            self._changed()
        self.delegations[place] = taken
        if release:
            self._release_all(item.pool, item.shard)

    def _release_all(self, pool: str, shard: int) -> None:
        for each in self.index.parts(pool, shard):
            grant = self.grants[each]
            grant.releasing = grant.is_live
        self.revision += 1

    def _drop(self, pool: str, shard: int) -> None:
        del self.delegations[pool, shard]
        for each in list(self.index.parts(pool, shard)):
            self.index.remove(each)
        for key in [each for each in self.carving if (each.pool, each.shard) == (pool, shard)]:
            del self.carving[key]
        self._changed()

    def _given_back(self) -> Iterable[tuple[str, int, int]]:
        for (pool, shard), each in self.delegations.items():
            parts = self.index.parts(pool, shard)
            if each.release and not any(self.grants[part].is_live for part in parts):
                yield (pool, shard, each.epoch)


def _release(assignment: Assignment, fence: Fence) -> pb.ReleasedGrant:
    return pb.ReleasedGrant(
        pool=assignment.pool,
        shard=assignment.shard,
        key=assignment.key or "",
        fence=fence.to_int(),
    )
