"""Settings of a listener."""

from __future__ import annotations

from typing import Any

from medlarpass import Value


class ListenerSettings(Value):
    """IP address and TCP port of a listener.

    :param document: validated section with ``ip`` and ``port``
    """

    __slots__ = ("ip", "port")

    def __init__(self, document: dict[str, Any]) -> None:
        self.ip: str = document["ip"]
        self.port: int = document["port"]

    def endpoint(self) -> str:
        """Return ``IP:PORT``, with brackets around an IPv6 address."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"
