"""Polling of the status of all control replicas."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc

if TYPE_CHECKING:
    from medlarpass.replication import Replica
    from medlarpass_daemon.observability import Metrics
    from medlarpass_daemon.rpc_channels import RpcChannels

POLL_INTERVAL_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 0.5


class StatusPoller:
    """Polls the status of all members, so that any replica can serve operators' calls.

    :param replica: replica of this process
    :param channels: gRPC channels
    :param metrics: metrics of the process
    """

    __slots__ = ("channels", "metrics", "replica", "statuses")

    def __init__(self, replica: Replica, channels: RpcChannels, metrics: Metrics) -> None:
        self.metrics = metrics
        self.replica = replica
        self.channels = channels
        #: Status by address; members that did not respond to the last poll are missing.
        self.statuses: dict[str, control_pb2.StatusResponse] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            self._set_gauges()
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def _set_gauges(self) -> None:
        self.metrics.replication_leader.set(self.replica.is_leader)
        # Drops the values of replicas that were removed or no longer respond.
        self.metrics.replication_lag.clear()
        last_index = max((status.last_index for status in self.statuses.values()), default=0)
        for status in self.statuses.values():
            self.metrics.replication_lag.labels(status.replica).set(last_index - status.last_index)

    async def poll(self) -> None:
        """Request the status of all members once."""
        addresses = [member.address for member in self.replica.membership.members]
        responses = await asyncio.gather(*(self.request_status(address) for address in addresses))
        self.statuses = {
            address: status
            for address, status in zip(addresses, responses, strict=True)
            if status is not None
        }

    async def request_status(self, address: str) -> control_pb2.StatusResponse | None:
        """Request the status of one replica.

        :param address: ``IP:PORT`` of the replica
        :returns: its status, or ``None`` if it did not respond
        """
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        try:
            response: control_pb2.StatusResponse = await stub.Status(
                control_pb2.StatusRequest(), timeout=CALL_TIMEOUT_SECONDS
            )
        except grpc.aio.AioRpcError:
            return None
        return response
