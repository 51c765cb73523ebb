"""Keeps the configuration of an entry up to date from the control replicas."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from medlarpass.tables import TableError
from medlarpass_daemon.entry.events import CONFIGURATION_APPLIED
from medlarpass_daemon.entry.events import CONFIGURATION_INVALID
from medlarpass_daemon.entry.events import CONTROL_UNREACHABLE

if TYPE_CHECKING:
    from medlarpass_daemon.entry.configuration_store import ConfigurationStore
    from medlarpass_daemon.entry.control_directory import ControlDirectory
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import DaemonSettings

#: Time for which a replica may hold the long poll open. It is short because a replica on the other
#: side of a partition responds too, with outdated tables, until the watcher polls the next one.
WATCH_TIMEOUT_MILLISECONDS = 1_000
CALL_TIMEOUT_SECONDS = 2.0
RETRY_INTERVAL_SECONDS = 0.2


class ConfigurationWatcher:
    """Long-polls the control replicas in turn.

    Each poll goes to the next replica, so a partitioned replica with outdated tables delays a
    change by at most one poll.

    :param settings: settings of the process
    :param store: store that puts configurations in force
    :param control: addresses of the control replicas
    :param channels: gRPC channels
    """

    __slots__ = ("channels", "control", "settings", "store")

    def __init__(
        self,
        settings: DaemonSettings,
        store: ConfigurationStore,
        control: ControlDirectory,
        channels: RpcChannels,
    ) -> None:
        self.settings = settings
        self.store = store
        self.control = control
        self.channels = channels

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            address = self.control.next_address()
            try:
                await self._poll(address)
            except grpc.aio.AioRpcError as error:
                CONTROL_UNREACHABLE.log(address=address, status=error.code().name)
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            except TableError as error:
                CONFIGURATION_INVALID.log(address=address, code=error.code, message=error.message)
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _poll(self, address: str) -> None:
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        request = control_pb2.WatchConfigurationRequest(
            place=self.settings.name,
            domain=self.settings.domain,
            known_revision=self.store.revision,
            in_force_revision=self.store.revision,
            wait_ms=WATCH_TIMEOUT_MILLISECONDS,
        )
        response = await stub.WatchConfiguration(request, timeout=CALL_TIMEOUT_SECONDS)
        self.control.set_members(response.control_addresses)
        if response.HasField("configuration") and self.store.apply_if_newer(response.configuration):
            CONFIGURATION_APPLIED.log(revision=self.store.revision, source=address)
