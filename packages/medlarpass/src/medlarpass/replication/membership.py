"""Members of the cluster and their changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.replication.exceptions import MembershipError
from medlarpass.rpc import replication_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable


class Member(Value):
    """A member of the cluster.

    :param replica: identity of the replica
    :param address: address for calls from other replicas
    :param domain: failure domain
    :param voter: whether it counts in majorities; a learner only receives records
    """

    __slots__ = ("address", "domain", "replica", "voter")

    def __init__(self, replica: str, address: str, domain: str, voter: bool = True) -> None:
        self.replica = replica
        self.address = address
        self.domain = domain
        self.voter = voter

    def with_voter(self, voter: bool) -> Member:
        """Return a copy of the member as a voter or a learner."""
        return Member(self.replica, self.address, self.domain, voter)


class Membership(Value):
    """Immutable set of members.

    Each change returns a membership that differs by at most one voter, so that any majority of
    the old one overlaps with any majority of the new one (Ongaro 2014, section 4.1).

    :param members: all members
    """

    __slots__ = ("members",)

    def __init__(self, members: Iterable[Member]) -> None:
        self.members = tuple(sorted(members, key=lambda member: member.replica))
        if len({member.replica for member in self.members}) != len(self.members):
            raise MembershipError("two members have the same identity")
        if len({member.address for member in self.members}) != len(self.members):
            raise MembershipError("two members have the same address")

    @property
    def voters(self) -> frozenset[str]:
        """Identities of the voters."""
        return frozenset(member.replica for member in self.members if member.voter)

    @property
    def learners(self) -> frozenset[str]:
        """Identities of the learners."""
        return frozenset(member.replica for member in self.members if not member.voter)

    def find(self, replica: str | None) -> Member | None:
        """Return the member with the given identity, if any."""
        return next((member for member in self.members if member.replica == replica), None)

    def is_majority(self, replicas: Iterable[str]) -> bool:
        """Return whether the replicas contain more than half of the voters."""
        return 2 * len(self.voters.intersection(replicas)) > len(self.voters)

    def add(self, member: Member) -> Membership:
        """Add a learner.

        :raises MembershipError: its identity or address is already in use
        """
        return Membership((*self.members, member.with_voter(False)))

    def remove(self, replica: str) -> Membership:
        """Remove a member.

        :raises MembershipError: the replica is not a member or is the last voter
        """
        if self.find(replica) is None:
            raise MembershipError(f"{replica} is not a member")
        if self.voters == {replica}:
            raise MembershipError(f"{replica} is the last voter and cannot be removed")
        return Membership(member for member in self.members if member.replica != replica)

    def replace(self, replica: str, member: Member) -> Membership:
        """Remove a member and add a learner in one change; they may share an address.

        :raises MembershipError: as for :meth:`add` and :meth:`remove`
        """
        return self.remove(replica).add(member)

    def promote(self, replica: str) -> Membership:
        """Turn a learner into a voter.

        :raises MembershipError: the replica is not a learner
        """
        if replica not in self.learners:
            raise MembershipError(f"{replica} is not a learner")
        return Membership(
            member.with_voter(True) if member.replica == replica else member
            for member in self.members
        )

    def to_record(self) -> replication_pb2.MembershipRecord:
        """Return the protobuf message."""
        return replication_pb2.MembershipRecord(
            members=[
                replication_pb2.Member(
                    replica=member.replica,
                    address=member.address,
                    domain=member.domain,
                    voter=member.voter,
                )
                for member in self.members
            ],
        )

    @classmethod
    def from_record(cls, record: replication_pb2.MembershipRecord) -> Membership:
        """Build a membership from its protobuf message."""
        return cls(
            Member(member.replica, member.address, member.domain, member.voter)
            for member in record.members
        )

    def encode(self) -> bytes:
        """Serialise the payload of a membership record."""
        return self.to_record().SerializeToString()

    @classmethod
    def decode(cls, data: bytes) -> Membership:
        """Deserialise the payload of a membership record."""
        return cls.from_record(replication_pb2.MembershipRecord.FromString(data))


class MembershipHistory:
    """Memberships recorded in the log.

    The newest record is in force, whether committed or not (Ongaro 2014, section 4.1). When it is
    truncated, the previous one is in force again.

    :param initial_membership: membership before the first membership record
    """

    __slots__ = ("entries",)

    def __init__(self, initial_membership: Membership) -> None:
        self.entries: list[tuple[int, Membership]] = [(0, initial_membership)]

    @property
    def current(self) -> Membership:
        """Membership in force."""
        return self.entries[-1][1]

    @property
    def index(self) -> int:
        """Index of the record in force, 0 for the initial membership."""
        return self.entries[-1][0]

    def add(self, index: int, membership: Membership) -> None:
        """Put the membership of a new record in force."""
        self.entries.append((index, membership))

    def membership_at(self, index: int) -> Membership:
        """Return the membership that was in force at the given index."""
        return next(membership for first, membership in reversed(self.entries) if first <= index)

    def truncate(self, first: int) -> None:
        """Remove the records from ``first`` on."""
        self.entries = [entry for entry in self.entries if entry[0] < first]

    def rebase(self, index: int, membership: Membership) -> None:
        """Replace all entries up to the index of a snapshot by its membership."""
        later = [entry for entry in self.entries if entry[0] > index]
        self.entries = [(index, membership), *later]
