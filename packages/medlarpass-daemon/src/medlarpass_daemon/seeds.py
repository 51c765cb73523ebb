"""Addresses at which the control replicas are looked for first."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass_daemon.settings import DaemonSettings


class Seeds:
    """Addresses between processes of some control replicas.

    The settings name the addresses of control's own listener; the port between processes is the
    same on all VMs.

    :param settings: settings of the process, with the section ``fleet``
    """

    __slots__ = ("addresses",)

    def __init__(self, settings: DaemonSettings) -> None:
        self.addresses: list[str] = []
        self.update(settings)

    def update(self, settings: DaemonSettings) -> None:
        """Take the addresses of settings that were read again."""
        if settings.fleet is None:
            return
        port = settings.rpc.port
        self.addresses = [
            f"{address.rpartition(':')[0]}:{port}" for address in settings.fleet.seeds
        ]
