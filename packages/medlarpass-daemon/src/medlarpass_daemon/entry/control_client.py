"""Sends commands to the control leader."""

from __future__ import annotations

import asyncio
import uuid

from typing import TYPE_CHECKING

import grpc

from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.exceptions import UnknownResultError

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass_daemon.entry.control_directory import ControlDirectory
    from medlarpass_daemon.rpc_channels import RpcChannels

CALL_TIMEOUT_SECONDS = 1.0
RETRY_INTERVAL_SECONDS = 0.05


class ControlClient:
    """Finds the leader and proposes commands to it.

    Commands are idempotent: claims by their attempt id, changes by their change id.

    :param control: addresses of the control replicas
    :param channels: gRPC channels
    :param clock: clock that the deadlines refer to
    """

    __slots__ = ("channels", "clock", "control")

    def __init__(self, control: ControlDirectory, channels: RpcChannels, clock: Clock) -> None:
        self.control = control
        self.channels = channels
        self.clock = clock

    async def propose(
        self, command: control_pb2.Command, deadline: float
    ) -> control_pb2.CommandResult:
        """Propose a command repeatedly until it has a result or the deadline passes.

        :param command: command without a time; the leader sets it
        :param deadline: clock reading, in seconds
        :raises ControlUnavailableError: the command was not appended to the log
        :raises UnknownResultError: the command may have been appended and may take effect
        """
        command.command_id = command.command_id or uuid.uuid4().hex
        may_be_appended = False
        while (remaining := deadline - self.clock.now()) > 0:
            address = self.control.leader or self.control.next_address()
            try:
                response = await self._call(address, command, min(remaining, CALL_TIMEOUT_SECONDS))
            except grpc.aio.AioRpcError as error:
                may_be_appended = may_be_appended or not _is_connection_failure(error)
                self.control.leader = ""
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
                continue
            outcome = response.WhichOneof("outcome")
            if outcome == "result":
                return response.result
            may_be_appended = may_be_appended or outcome == "unknown"
            self.control.leader = response.not_leader.leader_address
            if not self.control.leader:
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        if may_be_appended:
            raise UnknownResultError(
                "no response from the control leader; the result of the command is unknown"
            )
        raise ControlUnavailableError("no control leader accepted the command")

    async def _call(
        self, address: str, command: control_pb2.Command, timeout: float
    ) -> control_pb2.ProposeResponse:
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        request = control_pb2.ProposeRequest(command=command)
        response: control_pb2.ProposeResponse = await stub.Propose(request, timeout=timeout)
        return response


def _is_connection_failure(error: grpc.aio.AioRpcError) -> bool:
    """Return whether the call failed while connecting; gRPC reports this only in the details."""
    return "failed to connect" in (error.details() or "").lower()
