"""Share of one entry in the connections of each server."""

from __future__ import annotations

# Share of a server's connections reserved for probes, operators and entries being replaced.
RESERVED_RATIO = 0.1


class ConnectionBudget:
    """Divides the connections of a server among all entries.

    :param configured_entries: number of entries in the settings of the deployment; a
        partition hides entries that still use their connections, so a smaller number of known
        entries does not enlarge the share
    """

    __slots__ = ("configured_entries", "known_entries", "open_connections")

    def __init__(self, configured_entries: int) -> None:
        self.configured_entries = configured_entries
        self.known_entries = configured_entries
        self.open_connections: dict[str, int] = {}

    def set_entry_count(self, count: int) -> None:
        """Set the number of currently known entries."""
        self.known_entries = count

    def share(self, connections: int) -> int:
        """Return the number of connections to a server that this entry may open, at least one.

        :param connections: connections that the server accepts from all entries
        """
        usable = int(connections * (1.0 - RESERVED_RATIO))
        return max(usable // max(self.configured_entries, self.known_entries), 1)

    def try_open(self, server: str, connections: int) -> bool:
        """Count a new connection to a server if the share allows it."""
        used = self.open_connections.get(server, 0)
        if used >= self.share(connections):
            return False
        self.open_connections[server] = used + 1
        return True

    def closed(self, server: str) -> None:
        """Count a connection to a server as closed."""
        used = self.open_connections.get(server, 0)
        if used > 1:
            self.open_connections[server] = used - 1
        else:
            self.open_connections.pop(server, None)

    def surplus(self, server: str, connections: int) -> int:
        """Return the number of connections above the share, to be closed once idle."""
        return max(self.open_connections.get(server, 0) - self.share(connections), 0)
