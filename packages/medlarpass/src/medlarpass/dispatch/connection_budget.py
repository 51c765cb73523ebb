"""Share of one entry in the connections of each server."""

from __future__ import annotations

# Part of a server's connections left to probes, operators and entries that are being replaced.
RESERVE = 0.1


class ConnectionBudget:
    """Divides a server's connections over all entries.

    :param entries: entries in the settings of the deployment; a partition hides entries that
        still use their connections, so a smaller number seen does not enlarge the share
    """

    __slots__ = ("entries", "open", "seen")

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.seen = entries
        self.open: dict[str, int] = {}

    def entries_seen(self, count: int) -> None:
        """Take the number of entries that are known at present."""
        self.seen = count

    def share(self, connections: int) -> int:
        """Return how many of a server's connections this entry may use, at least one.

        :param connections: connections that the server accepts from all entries
        """
        usable = int(connections * (1.0 - RESERVE))
        return max(usable // max(self.entries, self.seen), 1)

    def try_open(self, server: str, connections: int) -> bool:
        """Count a new connection if the share allows it."""
        used = self.open.get(server, 0)
        if used >= self.share(connections):
            return False
        self.open[server] = used + 1
        return True

    def closed(self, server: str) -> None:
        """Count a connection as closed."""
        used = self.open.get(server, 0)
        if used > 1:
            self.open[server] = used - 1
        else:
            self.open.pop(server, None)

    def surplus(self, server: str, connections: int) -> int:
        """Return how many connections are above the share and must close once idle."""
        return max(self.open.get(server, 0) - self.share(connections), 0)
