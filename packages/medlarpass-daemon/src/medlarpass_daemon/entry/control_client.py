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

CALL_TIMEOUT = 1.0
RETRY_PAUSE = 0.05


class ControlClient:
    """Finds the leader and proposes commands to it.

    Commands are safe to repeat: claims by their attempt, changes by their change id.

    :param control: addresses of the control replicas
    :param channels: gRPC channels
    :param clock: clock that deadlines are measured with
    """

    __slots__ = ("channels", "clock", "control")

    def __init__(self, control: ControlDirectory, channels: RpcChannels, clock: Clock) -> None:
        self.control = control
        self.channels = channels
        self.clock = clock

    async def propose(
        self, command: control_pb2.Command, deadline: float
    ) -> control_pb2.CommandResult:
        """Propose a command until it has a result or the deadline passes.

        :param command: command without time; the leader stamps it
        :param deadline: reading of the clock, in seconds
        :raises ControlUnavailableError: the command was certainly not appended
        :raises UnknownResultError: the command may take effect
        """
        command.command_id = command.command_id or uuid.uuid4().hex
        uncertain = False
        while (remaining := deadline - self.clock.now()) > 0:
            address = self.control.leader or self.control.next_address()
            try:
                response = await self._call(address, command, min(remaining, CALL_TIMEOUT))
            except grpc.aio.AioRpcError as error:
                uncertain = uncertain or not _never_connected(error)
                self.control.leader = ""
                await asyncio.sleep(RETRY_PAUSE)
                continue
            outcome = response.WhichOneof("outcome")
            if outcome == "result":
                return response.result
            uncertain = uncertain or outcome == "unknown"
            self.control.leader = response.not_leader.leader_address
            if not self.control.leader:
                await asyncio.sleep(RETRY_PAUSE)
        if uncertain:
            raise UnknownResultError("no answer from the control leader; the result is unknown")
        raise ControlUnavailableError("no control leader took the command")

    async def _call(
        self, address: str, command: control_pb2.Command, timeout: float
    ) -> control_pb2.ProposeResponse:
        stub = control_pb2_grpc.ControlStub(self.channels.to(address))
        request = control_pb2.ProposeRequest(command=command)
        response: control_pb2.ProposeResponse = await stub.Propose(request, timeout=timeout)
        return response


def _never_connected(error: grpc.aio.AioRpcError) -> bool:
    """Whether the call failed while connecting; gRPC tells this only in the text."""
    return "failed to connect" in (error.details() or "").lower()
