"""Settings of the entry role."""

from __future__ import annotations

from typing import Any

from medlarpass import Value
from medlarpass_daemon.settings.listener import ListenerSettings
from medlarpass_daemon.settings.member import MemberSettings

#: A connection normally opens in about 1 ms. The timeout leaves time to try another server when one
#: drops packets.
DEFAULT_CONNECT_TIMEOUT_SECONDS = 1.0
#: Part of ``held_bodies`` that large bodies may use; one order of the greatest size must fit.
LARGE_BODY_RATIO = 0.75


class EntrySettings(Value):
    """Settings of the entry role; durations in seconds, sizes in bytes.

    :param document: validated section ``entry``
    """

    __slots__ = (
        "buffer",
        "callers",
        "concurrency",
        "connect_timeout",
        "connections_per_server",
        "control",
        "coordinator_term",
        "heartbeat_wait",
        "held_bodies",
        "longest_pause",
        "order_body",
        "owner_wait",
        "peers",
        "place_wait",
        "server_staleness",
        "servers",
        "session_term",
        "sync_interval",
        "upload_held",
    )

    def __init__(self, document: dict[str, Any]) -> None:
        self.callers = ListenerSettings(document["callers"])
        #: Listener for servers; None when servers send their heartbeats to control.
        self.servers = ListenerSettings(document["servers"]) if "servers" in document else None
        #: Entries of all failure domains, including this one; empty when control discovers them.
        self.peers = [MemberSettings(peer) for peer in document.get("peers", ())]
        self.control: list[str] = document.get("control", [])
        self.concurrency: int = document["concurrency"]
        self.connections_per_server: int = document["connections_per_server"]
        #: Bytes read ahead for each direction of a streamed body.
        self.buffer: int = document["buffer"]
        #: Maximum body size of an order; the body is buffered in memory.
        self.order_body: int = document["order_body"]
        #: Most bytes of buffered bodies, of all requests together.
        self.held_bodies: int = document["held_bodies"]
        #: Maximum size of an upload that is buffered for retries. A larger one is streamed and sent
        #: to one server only.
        self.upload_held: int = document["upload_held"]
        self.coordinator_term: float = document["coordinator_term"]
        self.session_term: float = document["session_term"]
        self.heartbeat_wait: float = document["heartbeat_wait"]
        #: Age of a server's last heartbeat after which it receives no more requests.
        self.server_staleness: float = document["server_staleness"]
        self.sync_interval: float = document["sync_interval"]
        #: Timeout for opening a connection to a server.
        self.connect_timeout: float = document.get(
            "connect_timeout", DEFAULT_CONNECT_TIMEOUT_SECONDS
        )
        #: Maximum time that a request waits until its key has an owner.
        self.owner_wait: float = document["owner_wait"]
        #: Maximum time that a request waits for a free slot of a server.
        self.place_wait: float = document["place_wait"]
        #: Longest time for which a server can ask for no requests.
        self.longest_pause: float = document["longest_pause"]

    def address_of(self, name: str, domain: str) -> str:
        """Return the gRPC address of an entry, or an empty string when it is not listed.

        :param name: name of the entry
        :param domain: its failure domain
        """
        for peer in self.peers:
            if (peer.name, peer.domain) == (name, domain):
                return peer.address
        return ""
