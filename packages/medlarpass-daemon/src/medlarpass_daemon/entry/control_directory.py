"""Addresses of the control replicas as an entry knows them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class ControlDirectory:
    """Addresses from the settings, joined by those the replicas tell.

    Addresses from the settings are kept even when no replica names them: after the replacement of
    all known replicas they are the only way back.

    :param seeds: addresses from the settings
    """

    __slots__ = ("addresses", "leader", "position", "seeds")

    def __init__(self, seeds: Iterable[str]) -> None:
        self.seeds = list(dict.fromkeys(seeds))
        self.addresses = list(self.seeds)
        self.position = 0
        #: Address of the leader as last told, or empty.
        self.leader = ""

    def next_address(self) -> str:
        """Return the addresses in turn."""
        self.position = (self.position + 1) % len(self.addresses)
        return self.addresses[self.position]

    def learn(self, addresses: Iterable[str]) -> None:
        """Take over the addresses of the present members."""
        told = list(addresses)
        if told:
            self.addresses = list(dict.fromkeys([*told, *self.seeds]))
