from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import Any

import grpc
import pytest

from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from medlarpass_daemon import rpc_channels
from medlarpass_daemon import rpc_server
from medlarpass_daemon.entry.fleet.fleet_watcher import STREAM_TIMEOUT_SECONDS
from medlarpass_daemon.rpc_channels import RpcChannels

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CALL_TIMEOUT_SECONDS = 0.5
#: Far less than the minute after which gRPC notices a lost ping by default.
RECOVERY_SECONDS = 20.0


class SilentProxy:
    """Forwards connections; the open ones can go silent without being closed."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.tasks: set[asyncio.Task[None]] = set()
        #: Replaced when the open connections go silent.
        self.silenced = asyncio.Event()

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.port)
        for source, target in ((reader, server_writer), (server_reader, writer)):
            self.tasks.add(asyncio.create_task(self.forward(source, target, self.silenced)))

    async def forward(
        self, source: asyncio.StreamReader, target: asyncio.StreamWriter, silenced: asyncio.Event
    ) -> None:
        try:
            while data := await source.read(65_536):
                if not silenced.is_set():
                    target.write(data)
        finally:
            target.close()

    def silence(self) -> None:
        """Forward nothing more on the open connections."""
        self.silenced.set()
        self.silenced = asyncio.Event()


class StatusService(control_pb2_grpc.ControlServicer):
    """Answers requests for the status."""

    async def Status(
        self, request: control_pb2.StatusRequest, context: Any
    ) -> control_pb2.StatusResponse:
        return control_pb2.StatusResponse(replica="r")


@pytest.fixture
async def proxied() -> AsyncIterator[tuple[SilentProxy, int]]:
    """Return a proxy before a gRPC server, and its port."""
    server = grpc.aio.server(options=rpc_server.SERVER_OPTIONS)
    control_pb2_grpc.add_ControlServicer_to_server(StatusService(), server)
    proxy = SilentProxy(server.add_insecure_port("127.0.0.1:0"))
    await server.start()
    listener = await asyncio.start_server(proxy.accept, "127.0.0.1", 0)
    yield proxy, listener.sockets[0].getsockname()[1]
    listener.close()
    for task in proxy.tasks:
        task.cancel()
    await asyncio.gather(*proxy.tasks, return_exceptions=True)
    await server.stop(None)
    # The transports end in the next passes of the event loop.
    await asyncio.sleep(0.05)


async def status_of(channels: RpcChannels, address: str) -> control_pb2.StatusResponse:
    """Return the status; each call has a short timeout of its own."""
    stub = control_pb2_grpc.ControlStub(channels.to(address))
    response: control_pb2.StatusResponse = await stub.Status(
        control_pb2.StatusRequest(), timeout=CALL_TIMEOUT_SECONDS
    )
    return response


async def test_a_silent_connection_is_replaced(proxied: tuple[SilentProxy, int]) -> None:
    """Guards against replicas that can't elect a leader for a minute (review/9).

    Open connections between VMs had gone silent without a reset, and new ones worked.
    """
    proxy, port = proxied
    channels = RpcChannels(None)
    address = f"127.0.0.1:{port}"
    assert (await status_of(channels, address)).replica == "r"
    proxy.silence()
    async with asyncio.timeout(RECOVERY_SECONDS):
        while True:
            try:
                await status_of(channels, address)
                break
            except grpc.aio.AioRpcError:
                continue
    await channels.close()


@pytest.mark.parametrize("options", [rpc_channels.CHANNEL_OPTIONS, rpc_server.SERVER_OPTIONS])
def test_a_lost_ping_is_noticed_as_soon_as_a_silent_stream(options: list[tuple[str, int]]) -> None:
    """Guards against a ping whose timeout is a minute, or shorter than a saturated link needs.

    With one second an entry on a slow link lost its connection again and again, and never followed
    a publication.
    """
    settings = dict(options)
    assert settings["grpc.http2.ping_timeout_ms"] == STREAM_TIMEOUT_SECONDS * 1000
