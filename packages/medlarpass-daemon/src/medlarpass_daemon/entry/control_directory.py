"""Addresses of the control replicas that an entry knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class ControlDirectory:
    """Addresses from the settings and from the responses of the replicas.

    Addresses from the settings are kept even if they belong to no current member: after all known
    replicas have been replaced, they are the only way to reach control.

    :param seeds: addresses from the settings
    """

    __slots__ = ("addresses", "leader", "position", "seeds")

    def __init__(self, seeds: Iterable[str]) -> None:
        self.seeds = list(dict.fromkeys(seeds))
        self.addresses = list(self.seeds)
        self.position = 0
        #: Last known address of the leader, or empty.
        self.leader = ""

    def next_address(self) -> str:
        """Return the next address, in turn."""
        self.position = (self.position + 1) % len(self.addresses)
        return self.addresses[self.position]

    def set_members(self, addresses: Iterable[str]) -> None:
        """Set the addresses of the current members.

        :param addresses: addresses from a response; ignored if empty
        """
        members = list(addresses)
        if members:
            self.addresses = list(dict.fromkeys([*members, *self.seeds]))
