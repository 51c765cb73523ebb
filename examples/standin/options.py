"""Options of a stand-in server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from pathlib import Path


class StandinOptions:
    """Identity, capacity and behaviour of a stand-in server.

    :param identity: identity of the server
    :param port: port for requests
    :param options: parsed command line, shared by all servers of the process
    """

    __slots__ = (
        "connections",
        "domain",
        "entries",
        "identity",
        "ip",
        "journal",
        "ownership_journal",
        "pause_seconds",
        "pools",
        "port",
        "slots",
        "work_seconds",
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
        #: Processing time of each request.
        self.work_seconds: float = options.work_ms / 1000
        #: Time for which it asks for no requests when it sheds load; 0 to ask for nothing.
        self.pause_seconds: float = options.pause_ms / 1000
        #: File with a line for each order that ran.
        self.journal: Path = options.journal
        #: File with a line for each accepted enquiry and each change of a grant.
        self.ownership_journal: Path | None = options.ownership_journal
