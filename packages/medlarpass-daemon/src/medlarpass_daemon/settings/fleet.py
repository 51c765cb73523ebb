"""Settings for processes and servers that find each other through control."""

from __future__ import annotations

import importlib

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from medlarpass import Value
from medlarpass_daemon.settings.listener import ListenerSettings

if TYPE_CHECKING:
    from medlarpass_daemon.adapter import Adapter


class FleetSettings(Value):
    """Discovery through control; durations in seconds.

    :param document: validated section ``fleet``
    """

    __slots__ = (
        "adapter",
        "apply_within",
        "first_start",
        "heartbeat",
        "hold",
        "listener",
        "retry_ratio",
        "seeds",
        "silent_after",
    )

    def __init__(self, document: dict[str, Any]) -> None:
        #: Python module with the adapter of the platform.
        self.adapter: str = document["adapter"]
        #: Time after the confirmation of a publication within which entries follow it.
        self.apply_within: float = document["apply_within"]
        #: Addresses of control's listener on some VMs.
        self.seeds: list[str] = document["seeds"]
        #: Whether the whole system starts for the first time, with empty disks.
        self.first_start: bool = document["first_start"]
        #: Listener of control for servers and operators of the platform.
        self.listener = ListenerSettings(document["listener"]) if "listener" in document else None
        #: Time between two heartbeats of a server.
        self.heartbeat: float = document["heartbeat"]
        #: Heartbeats that a server misses before it gets no further keys.
        self.silent_after: int = document["silent_after"]
        #: Time for which a server holds keys after a grant.
        self.hold: float = min(document["hold"], document["longest_hold"])
        #: Requests that may be sent again, in relation to all requests of a pool.
        self.retry_ratio: float = document["retry_ratio"]

    def load_adapter(self) -> Adapter:
        """Return the adapter of the platform.

        :raises ImportError: when the module is not installed
        """
        return cast("Adapter", importlib.import_module(self.adapter).ADAPTER)
