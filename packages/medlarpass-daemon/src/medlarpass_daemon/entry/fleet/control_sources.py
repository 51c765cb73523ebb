"""Control replicas that an entry may follow."""

from __future__ import annotations

import random
import zlib

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass.rpc import fleet_pb2
    from medlarpass_daemon.seeds import Seeds
    from medlarpass_daemon.settings import DaemonSettings

#: Bounds of the time after which an entry leaves a replica of another failure domain for one of its
#: own. It is random so that the entries of a domain do not request the whole view at the same time.
MIN_REMOTE_FOLLOW_SECONDS = 0.5
MAX_REMOTE_FOLLOW_SECONDS = 2.5


class ControlSources:
    """Order in which the replicas are tried: those of the own failure domain come first.

    The entries are distributed over the replicas of their domain, and over all replicas, by a hash
    of their names.

    :param settings: settings of the process
    :param seeds: initial addresses
    """

    __slots__ = ("attempt_count", "control_addresses", "local_addresses", "seeds", "settings")

    def __init__(self, settings: DaemonSettings, seeds: Seeds) -> None:
        self.settings = settings
        self.seeds = seeds
        #: Addresses of all control replicas according to the last update that named them.
        self.control_addresses: list[str] = []
        #: Addresses of the replicas of the own domain that serve entries.
        self.local_addresses: list[str] = []
        self.attempt_count = 0

    def set_replicas(
        self, controls: Sequence[str], sources: Sequence[fleet_pb2.FleetSource]
    ) -> None:
        """Set the replicas from an update.

        :param controls: addresses of all control replicas
        :param sources: replicas that serve entries; if empty, the update does not name any and
            nothing changes
        """
        if not sources:
            return
        self.control_addresses = self._rotated(controls)
        self.local_addresses = self._rotated(
            source.address for source in sources if source.domain == self.settings.domain
        )

    def _rotated(self, addresses: Iterable[str]) -> list[str]:
        """Return addresses in an order that differs between entries."""
        ordered = sorted(addresses)
        start = zlib.crc32(self.settings.name.encode()) % len(ordered) if ordered else 0
        return [*ordered[start:], *ordered[:start]]

    def next_address(self) -> str:
        """Return the address to try next; all are tried in turn until one serves."""
        addresses = list(
            dict.fromkeys([*self.local_addresses, *self.control_addresses, *self.seeds.addresses])
        )
        address = addresses[self.attempt_count % len(addresses)]
        self.attempt_count += 1
        return address

    def restart_order(self) -> None:
        """Start with the preferred replica again when the current one is lost."""
        self.attempt_count = 0

    def preferred_address(self) -> str:
        """Return the address of the replica that this entry prefers, or an empty string."""
        return self.local_addresses[0] if self.local_addresses else ""

    def has_local_alternative(self, address: str) -> bool:
        """Return whether the replica is remote and one of the own domain is known."""
        return bool(self.local_addresses) and address not in self.local_addresses

    def remote_follow_seconds(self) -> float:
        """Return the seconds for which a replica of another domain is followed."""
        return random.uniform(MIN_REMOTE_FOLLOW_SECONDS, MAX_REMOTE_FOLLOW_SECONDS)
