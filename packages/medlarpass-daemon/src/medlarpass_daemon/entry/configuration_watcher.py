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

#: How long a replica may hold the call open, in milliseconds. It is short because a replica on
#: the far side of a partition answers too: the watcher then moves on to the next one.
WATCH_WAIT_MS = 1_000
CALL_TIMEOUT = 2.0
RETRY_PAUSE = 0.2


class ConfigurationWatcher:
    """Long-polls one control replica after the other.

    Each poll goes to the next replica, so a replica that was cut off and has old tables delays a
    change by at most one poll.

    :param settings: settings of the process
    :param store: where configurations are put in force
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
                await asyncio.sleep(RETRY_PAUSE)
            except TableError as error:
                CONFIGURATION_INVALID.log(address=address, code=error.code, message=error.message)
                await asyncio.sleep(RETRY_PAUSE)

    async def _poll(self, address: str) -> None:
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        request = control_pb2.WatchConfigurationRequest(
            place=self.settings.name,
            domain=self.settings.domain,
            known_revision=self.store.revision,
            in_force_revision=self.store.revision,
            wait_ms=WATCH_WAIT_MS,
        )
        response = await stub.WatchConfiguration(request, timeout=CALL_TIMEOUT)
        self.control.learn(response.control_addresses)
        if response.HasField("configuration") and self.store.offer(response.configuration):
            CONFIGURATION_APPLIED.log(revision=self.store.revision, source=address)
