"""Last status of every control replica."""

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

POLL_INTERVAL = 0.5
CALL_TIMEOUT = 0.5


class StatusPoller:
    """Asks the members for their status, so that any replica can answer operators.

    :param replica: replica of this process
    :param channels: gRPC channels
    :param metrics: metrics of the process
    """

    __slots__ = ("channels", "metrics", "replica", "statuses")

    def __init__(self, replica: Replica, channels: RpcChannels, metrics: Metrics) -> None:
        self.metrics = metrics
        self.replica = replica
        self.channels = channels
        #: By address; a member that did not answer last time is missing.
        self.statuses: dict[str, control_pb2.StatusResponse] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            self._set_gauges()
            await asyncio.sleep(POLL_INTERVAL)

    def _set_gauges(self) -> None:
        self.metrics.replication_role.set(self.replica.is_leader)
        # A replica that no longer answers or was removed must not keep its last value.
        self.metrics.replication_lag.clear()
        last = max((each.last_index for each in self.statuses.values()), default=0)
        for status in self.statuses.values():
            self.metrics.replication_lag.labels(status.replica).set(last - status.last_index)

    async def poll(self) -> None:
        """Ask all members once."""
        addresses = [member.address for member in self.replica.membership.members]
        answers = await asyncio.gather(*(self.ask(address) for address in addresses))
        self.statuses = {
            address: answer
            for address, answer in zip(addresses, answers, strict=True)
            if answer is not None
        }

    async def ask(self, address: str) -> control_pb2.StatusResponse | None:
        """Ask one replica.

        :param address: ``IP:PORT`` of the replica
        :returns: its status, or None when it did not answer
        """
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        try:
            response: control_pb2.StatusResponse = await stub.Status(
                control_pb2.StatusRequest(), timeout=CALL_TIMEOUT
            )
        except grpc.aio.AioRpcError:
            return None
        return response
