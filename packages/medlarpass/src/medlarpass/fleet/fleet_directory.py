"""All servers that have announced themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.fleet.fleet_member import FleetMember

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock
    from medlarpass.fleet.server_notice import ServerNotice

#: Seconds of silence after which a server is forgotten; far longer than any cut of the network
#: that a server survives with its keys.
FORGET_AFTER = 120.0


class FleetDirectory:
    """Aggregate of the servers; a late notice never replaces a newer one.

    :param clock: source of time
    """

    __slots__ = ("addresses", "clock", "members")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.members: dict[str, FleetMember] = {}
        #: Identity and life of the newest server at each address.
        self.addresses: dict[tuple[str, int], tuple[str, int]] = {}

    def observe(self, notice: ServerNotice) -> bool:
        """Take a notice.

        :returns: whether entries have to learn of it
        """
        now = self.clock.now()
        known = self.members.get(notice.identity)
        if known is not None and not _is_newer(notice, known.notice):
            return False
        if not self._take_address(notice):
            return False
        if known is not None and known.notice.life == notice.life:
            has_moved = known.notice.address != notice.address or known.notice.pool != notice.pool
            known.notice = notice
            known.seen_at = now
            return has_moved
        self.members[notice.identity] = FleetMember(notice, now)
        return True

    def retire(self, identity: str, life: int) -> bool:
        """Mark a life of a server as leaving.

        :returns: whether that is new
        """
        member = self.members.get(identity)
        if member is None or member.notice.life > life or member.is_retired:
            return False
        member.is_retired = True
        return True

    def forget_silent(self) -> list[str]:
        """Forget the servers that have been silent for long, and return their identities."""
        oldest = self.clock.now() - FORGET_AFTER
        silent = [name for name, member in self.members.items() if member.seen_at < oldest]
        for name in silent:
            notice = self.members.pop(name).notice
            if self.addresses.get(notice.address) == (name, notice.life):
                del self.addresses[notice.address]
        return silent

    def usable(self, pool: str) -> Iterable[FleetMember]:
        """Yield the servers of a pool that may get new work."""
        for member in self.members.values():
            if member.notice.pool == pool and not member.is_retired:
                yield member

    def present(self) -> Iterable[FleetMember]:
        """Yield the servers that are at their addresses, as far as is known."""
        return (member for member in self.members.values() if not self.is_replaced(member))

    def is_replaced(self, member: FleetMember) -> bool:
        """Return whether a later server has announced itself at the same address."""
        notice = member.notice
        return self.addresses.get(notice.address) != (notice.identity, notice.life)

    def has_ended(self, identity: str, life: int) -> bool:
        """Return whether a life has certainly ended: a later one took its place or address."""
        member = self.members.get(identity)
        if member is None:
            return False
        return member.notice.life > life or (
            member.notice.life == life and self.is_replaced(member)
        )

    def _take_address(self, notice: ServerNotice) -> bool:
        """Note who is at an address; an earlier start than the known one is a late notice."""
        holder = self.addresses.get(notice.address)
        if holder is not None and holder[0] != notice.identity and holder[1] >= notice.life:
            return False
        self.addresses[notice.address] = (notice.identity, notice.life)
        return True


def _is_newer(notice: ServerNotice, known: ServerNotice) -> bool:
    if notice.life != known.life:
        return notice.life > known.life
    return notice.sequence > known.sequence
