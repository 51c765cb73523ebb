"""Records of a domain's grant table."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.rpc import control_pb2

if TYPE_CHECKING:
    from medlarpass.ownership.fence import Fence
    from medlarpass.ownership.shard import Assignment


class Grant(Value):
    """Owner and fence of an assignment.

    :param assignment: shard or isolated key
    :param fence: fence of the live grant, or of the last one if there is none
    :param server: identity of the owner, or an empty string when there is none
    :param incarnation: incarnation of the owner
    :param releasing: whether the owner has been requested to release it
    """

    __slots__ = ("assignment", "fence", "incarnation", "releasing", "server")

    def __init__(
        self,
        assignment: Assignment,
        fence: Fence,
        server: str = "",
        incarnation: int = 0,
        releasing: bool = False,
    ) -> None:
        self.assignment = assignment
        self.fence = fence
        self.server = server
        self.incarnation = incarnation
        self.releasing = releasing

    @property
    def is_live(self) -> bool:
        """Whether a server may hold the assignment."""
        return self.server != ""

    def to_proto(self) -> control_pb2.GrantStatus:
        """Return the grant as a message."""
        return control_pb2.GrantStatus(
            pool=self.assignment.pool,
            shard=self.assignment.shard,
            key=self.assignment.key or "",
            server=self.server,
            incarnation=self.incarnation,
            fence=self.fence.to_int(),
        )


class HeldDelegation(Value):
    """A shard that is delegated to this domain.

    :param epoch: epoch of the delegation
    :param expiry: end by this coordinator's clock in seconds; 0 until control has confirmed it
    :param must_release: whether the shard has to be released to control; never undone within an
        epoch
    """

    __slots__ = ("epoch", "expiry", "must_release")

    def __init__(self, epoch: int, expiry: float, must_release: bool) -> None:
        self.epoch = epoch
        self.expiry = expiry
        self.must_release = must_release


class CommittedGrants(Value):
    """Grants that a majority of the domain's entries has stored.

    :param version: version of the record
    :param grants: live grants by assignment
    :param released: delegations that must be released and have no live grant left; pool, shard and
        epoch
    """

    __slots__ = ("grant_counts", "grants", "released", "version")

    def __init__(
        self,
        version: int,
        grants: dict[Assignment, tuple[str, int, Fence]],
        released: frozenset[tuple[str, int, int]],
    ) -> None:
        self.version = version
        self.grant_counts = Counter(
            (server, incarnation) for server, incarnation, _ in grants.values()
        )
        self.grants = grants
        self.released = released
