"""Registry of the backend servers known to an entry."""

from __future__ import annotations

from medlarpass.registry.server import Server
from medlarpass.registry.server import ServerState
from medlarpass.registry.server_registry import RegisteredServer
from medlarpass.registry.server_registry import ServerRegistry

__all__ = [
    "RegisteredServer",
    "Server",
    "ServerRegistry",
    "ServerState",
]
