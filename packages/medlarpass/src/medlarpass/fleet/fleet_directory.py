"""All backend servers that send heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.fleet.fleet_member import FleetMember

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.fleet.server_heartbeat import ServerHeartbeat

#: Time without heartbeats after which a server is removed; far longer than any network partition
#: that a server survives with its keys.
SERVER_EXPIRY_SECONDS = 120.0


class FleetDirectory:
    """The known servers; a late heartbeat never replaces a newer one.

    :param clock: source of time
    """

    __slots__ = ("addresses", "clock", "members")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.members: dict[str, FleetMember] = {}
        #: Identity and incarnation of the newest server at each address.
        self.addresses: dict[tuple[str, int], tuple[str, int]] = {}

    def record_heartbeat(self, heartbeat: ServerHeartbeat) -> bool:
        """Record a heartbeat.

        :returns: whether entries need an update
        """
        now = self.clock.now()
        known = self.members.get(heartbeat.identity)
        if known is not None and not _is_newer(heartbeat, known.heartbeat):
            return False
        is_known = known is not None and known.heartbeat.incarnation == heartbeat.incarnation
        if known is not None and is_known and known.heartbeat.address != heartbeat.address:
            # An incarnation stays at its address; calls to another one would not reach it.
            return False
        if not self._claim_address(heartbeat):
            return False
        if known is not None and is_known:
            has_new_pool = known.heartbeat.pool != heartbeat.pool
            known.heartbeat = heartbeat
            known.seen_at = now
            return has_new_pool
        self.members[heartbeat.identity] = FleetMember(heartbeat, now)
        return True

    def update_cold(self, heartbeat: ServerHeartbeat) -> FleetMember | None:
        """Apply the cold time of a heartbeat that has been recorded, unless it was outdated.

        :returns: the server if entries have to be told, else None
        """
        member = self.members.get(heartbeat.identity)
        if member is None or not self.is_current(heartbeat):
            return None
        has_change = member.cold.update(heartbeat.warmup_seconds, self.clock.now())
        return member if has_change else None

    def is_current(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether a heartbeat is the newest of its server, as recorded."""
        member = self.members.get(heartbeat.identity)
        return member is not None and member.heartbeat is heartbeat

    def claimed_member(self, heartbeat: ServerHeartbeat) -> FleetMember | None:
        """Return the server whose address a heartbeat names as its own, if another one has it.

        None as well if the heartbeat is older than that server and thus outdated.
        """
        claim = self.addresses.get(heartbeat.address)
        if claim is None or claim[0] == heartbeat.identity or claim[1] >= heartbeat.incarnation:
            return None
        member = self.members.get(claim[0])
        return member if member is not None and not self.is_replaced(member) else None

    def replace(self, heartbeat: ServerHeartbeat) -> None:
        """Record that the server at an address has ended and the sender of a heartbeat has it."""
        self.addresses[heartbeat.address] = (heartbeat.identity, heartbeat.incarnation)

    def has_joined(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether the incarnation that sent a heartbeat is known in the same pool."""
        known = self.members.get(heartbeat.identity)
        return (
            known is not None
            and known.heartbeat.incarnation == heartbeat.incarnation
            and known.heartbeat.pool == heartbeat.pool
        )

    def retire(self, identity: str, incarnation: int) -> bool:
        """Mark an incarnation of a server as retired.

        :returns: whether it was not retired before
        """
        member = self.members.get(identity)
        if member is None or member.heartbeat.incarnation > incarnation or member.is_retired:
            return False
        member.is_retired = True
        return True

    def remove_expired(self) -> list[str]:
        """Remove the servers without recent heartbeats, and return their identities."""
        oldest = self.clock.now() - SERVER_EXPIRY_SECONDS
        expired = [identity for identity, member in self.members.items() if member.seen_at < oldest]
        for identity in expired:
            heartbeat = self.members.pop(identity).heartbeat
            if self.addresses.get(heartbeat.address) == (identity, heartbeat.incarnation):
                del self.addresses[heartbeat.address]
        return expired

    def assignable(self, pool: str) -> Iterable[FleetMember]:
        """Yield the servers of a pool that may get new work."""
        for member in self.members.values():
            if member.heartbeat.pool == pool and not member.is_retired:
                yield member

    def current(self) -> Iterable[FleetMember]:
        """Yield the servers that have not been replaced at their addresses."""
        return (member for member in self.members.values() if not self.is_replaced(member))

    def is_replaced(self, member: FleetMember) -> bool:
        """Return whether a newer server has sent a heartbeat from the same address."""
        heartbeat = member.heartbeat
        return self.addresses.get(heartbeat.address) != (heartbeat.identity, heartbeat.incarnation)

    def has_ended(self, identity: str, incarnation: int) -> bool:
        """Return whether an incarnation has certainly ended and no later one can have its grants.

        That is the case once another server has its address, which for a server with keys must
        have been shown by an answer from there. A restart under the same identity is no such proof,
        since the new incarnation may have accepted renewals meant for the old one, and says nothing
        about the address of the old one.
        """
        member = self.members.get(identity)
        return (
            member is not None
            and member.heartbeat.incarnation == incarnation
            and self.is_replaced(member)
        )

    def has_restarted(self, identity: str, incarnation: int) -> bool:
        """Return whether a newer incarnation of a server is known."""
        member = self.members.get(identity)
        return member is not None and member.heartbeat.incarnation > incarnation

    def newest_incarnation(self, identity: str) -> int:
        """Return the newest known incarnation of a server; 0 when the server is not known."""
        member = self.members.get(identity)
        return member.heartbeat.incarnation if member is not None else 0

    def _claim_address(self, heartbeat: ServerHeartbeat) -> bool:
        """Record the server at an address, unless its heartbeat is older than the known server."""
        claim = self.addresses.get(heartbeat.address)
        if (
            claim is not None
            and claim[0] != heartbeat.identity
            and claim[1] >= heartbeat.incarnation
        ):
            return False
        self.addresses[heartbeat.address] = (heartbeat.identity, heartbeat.incarnation)
        return True


def _is_newer(heartbeat: ServerHeartbeat, known: ServerHeartbeat) -> bool:
    if heartbeat.incarnation != known.incarnation:
        return heartbeat.incarnation > known.incarnation
    return heartbeat.sequence > known.sequence
