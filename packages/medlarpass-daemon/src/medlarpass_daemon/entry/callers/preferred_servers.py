"""Servers of one domain that an entry prefers for a pool."""

from __future__ import annotations

from operator import is_
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from medlarpass_daemon.entry.callers.interfaces import Target


class PreferredServers:
    """A subset of servers with what it was chosen from.

    :param source: all servers of the pool
    :param entry_count: number of entries at the time of the choice
    :param targets: servers of the subset by identity, with the weights for the choice among them
    """

    __slots__ = ("entry_count", "source", "targets")

    def __init__(
        self, source: Sequence[Target], entry_count: int, targets: Mapping[str, Target]
    ) -> None:
        self.source = source
        self.entry_count = entry_count
        self.targets = targets

    def is_current(self, source: Sequence[Target], entry_count: int) -> bool:
        """Return whether the same servers and number of entries would be used again.

        Servers are objects of their own after each change; lists are also built for an attempt.
        """
        if self.entry_count != entry_count or len(self.source) != len(source):
            return False
        return self.source is source or all(map(is_, self.source, source))
