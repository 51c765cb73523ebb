"""Options of a stand-in server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from pathlib import Path


class StandinOptions:
    """What a stand-in server announces and how it behaves.

    :param identity: identity of the server
    :param port: port for requests
    :param options: parsed command line that all servers of the process share
    """

    __slots__ = (
        "connections",
        "domain",
        "entries",
        "identity",
        "ip",
        "journal",
        "ownership_journal",
        "pools",
        "port",
        "slots",
        "work",
    )

    def __init__(self, identity: str, port: int, options: argparse.Namespace) -> None:
        self.identity = identity
        self.port = port
        self.ip: str = options.ip
        self.domain: str = options.domain
        #: Base URLs of the entries of the domain.
        self.entries: list[str] = options.entry
        self.pools: list[str] = options.pool
        self.slots: int = options.slots
        self.connections: int = options.connections
        #: Seconds that each request takes.
        self.work: float = options.work_ms / 1000
        #: File that gets a line for each order that ran.
        self.journal: Path = options.journal
        #: File that gets a line for each accepted enquiry and each change of a grant.
        self.ownership_journal: Path | None = options.ownership_journal
