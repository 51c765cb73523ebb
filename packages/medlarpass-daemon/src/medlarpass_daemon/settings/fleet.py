"""Settings for discovery of processes and servers through control."""

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
    """Settings of discovery through control; durations in seconds.

    :param document: validated section ``fleet``
    """

    __slots__ = (
        "adapter",
        "apply_within",
        "capacity_planning",
        "domain_routing",
        "first_start",
        "heartbeat",
        "hold",
        "listener",
        "owner_limits",
        "pool_admission",
        "retry_ratio",
        "seeds",
        "silent_after",
    )

    def __init__(self, document: dict[str, Any]) -> None:
        #: Name of the Python module that provides the platform adapter.
        self.adapter: str = document["adapter"]
        #: Maximum time after the confirmation of a publication until entries apply it.
        self.apply_within: float = document["apply_within"]
        #: Addresses of the control listener on some VMs.
        self.seeds: list[str] = document["seeds"]
        #: Whether keys are planned by the capacity of servers.
        self.capacity_planning: bool = document["capacity_planning"]
        #: Whether the whole system starts for the first time, with empty data folders.
        self.first_start: bool = document["first_start"]
        #: Listener of control for servers and platform operators; only with the control role.
        self.listener = ListenerSettings(document["listener"]) if "listener" in document else None
        #: Interval between heartbeats of a server.
        self.heartbeat: float = document["heartbeat"]
        #: Number of missed heartbeats after which a server is granted no more keys.
        self.silent_after: int = document["silent_after"]
        #: Lease of a grant: time for which a server holds its keys unless the grant is renewed.
        self.hold: float = min(document["hold"], document["longest_hold"])
        #: Whether control decides which share of the requests leaves its failure domain.
        self.domain_routing: bool = document["domain_routing"]
        #: Whether entries send an overloaded owner only the share that it can handle.
        self.owner_limits: bool = document["owner_limits"]
        #: Whether control limits the requests for a pool that is asked for more than it can serve.
        self.pool_admission: bool = document["pool_admission"]
        #: Retry budget: retries as a ratio of all requests of a pool.
        self.retry_ratio: float = document["retry_ratio"]

    def load_adapter(self) -> Adapter:
        """Import the platform adapter and return it.

        :raises ImportError: when the module is not installed
        """
        return cast("Adapter", importlib.import_module(self.adapter).ADAPTER)
