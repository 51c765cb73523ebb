"""Servers that name the address of another server which may own keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.fleet.server_heartbeat import ServerHeartbeat

#: Refuted claims that are remembered, so that their senders are not checked at each heartbeat.
MAX_REFUTED_COUNT = 1000


class AddressClaims:
    """Claims to addresses, each pending until the process at the address has been asked.

    A heartbeat proves nothing about another server, since it may come from another writer. A server
    that is taken for ended because of one would lose keys that it still owns.
    """

    __slots__ = ("pending", "refuted")

    def __init__(self) -> None:
        #: Newest heartbeat of the claimant, by address.
        self.pending: dict[tuple[str, int], ServerHeartbeat] = {}
        #: Addresses, identities and incarnations of refuted claims, oldest first.
        self.refuted: dict[tuple[tuple[str, int], str, int], None] = {}

    def add(self, heartbeat: ServerHeartbeat) -> bool:
        """Add a claim, unless it was refuted or one of a later incarnation is pending.

        :returns: whether the claim is new
        """
        if self.is_refuted(heartbeat):
            return False
        known = self.pending.get(heartbeat.address)
        if known is not None and known.incarnation > heartbeat.incarnation:
            return False
        self.pending[heartbeat.address] = heartbeat
        return known is None or _key(known) != _key(heartbeat)

    def is_refuted(self, heartbeat: ServerHeartbeat) -> bool:
        """Return whether the claimed server has answered at the address since this one started."""
        return _key(heartbeat) in self.refuted

    def refute(self, heartbeat: ServerHeartbeat) -> None:
        """Record that the claimed server has answered at its address."""
        self.drop(heartbeat)
        self.refuted[_key(heartbeat)] = None
        while len(self.refuted) > MAX_REFUTED_COUNT:
            del self.refuted[next(iter(self.refuted))]

    def drop(self, heartbeat: ServerHeartbeat) -> None:
        """Drop a claim; the next heartbeat of its sender makes it again."""
        known = self.pending.get(heartbeat.address)
        if known is not None and _key(known) == _key(heartbeat):
            del self.pending[heartbeat.address]


def _key(heartbeat: ServerHeartbeat) -> tuple[tuple[str, int], str, int]:
    return heartbeat.address, heartbeat.identity, heartbeat.incarnation
