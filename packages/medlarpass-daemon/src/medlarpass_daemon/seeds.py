"""Addresses used to discover the control replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass_daemon.settings import DaemonSettings


class Seeds:
    """gRPC addresses of some control replicas.

    The settings contain the addresses of the control listener. The gRPC port between processes is
    the same on all VMs.

    :param settings: settings of the process, with the section ``fleet``
    """

    __slots__ = ("addresses",)

    def __init__(self, settings: DaemonSettings) -> None:
        self.addresses: list[str] = []
        self.update(settings)

    def update(self, settings: DaemonSettings) -> None:
        """Apply the seeds of reloaded settings."""
        if settings.fleet is None:
            return
        port = settings.rpc.port
        self.addresses = [
            f"{address.rpartition(':')[0]}:{port}" for address in settings.fleet.seeds
        ]
