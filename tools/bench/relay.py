"""TCP relays between failure domains that can block, delay and limit traffic."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

from contextlib import suppress

from tools.bench.ports import LOOPBACK

CHUNK_BYTES = 64 * 1024
#: Chunk size of a link with a rate limit.
LIMITED_CHUNK_BYTES = 1024
POLL_INTERVAL_SECONDS = 0.01
#: SO_LINGER with a timeout of 0: a close resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)


class Link:
    """Traffic from one failure domain to another.

    :param source: domain that opens the connections
    :param target: domain that accepts them
    """

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target
        #: Forwards nothing but keeps connections open, as in a network partition.
        self.is_blocked = False
        #: Like ``is_blocked``, but only for data from the target.
        self.is_return_blocked = False
        self.delay_seconds = 0.0
        #: Rate limit of data from the target; 0 means unlimited.
        self.return_bytes_per_second = 0
        self.writers: set[asyncio.StreamWriter] = set()


class RelayNetwork:
    """All relays of a cluster, served by the event loop of one thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.links: dict[tuple[str, str], Link] = {}
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.thread.start()

    def add(self, source: str, target: str, port: int, ip: str = LOOPBACK) -> int:
        """Open a relay to a port.

        :param source: domain that connects to the relay
        :param target: domain of the port
        :param ip: IP address of the port
        :returns: port of the relay
        """
        link = self.links.setdefault((source, target), Link(source, target))
        future = asyncio.run_coroutine_threadsafe(self._listen(link, ip, port), self.loop)
        return future.result(10)

    def reset(self, link: Link) -> None:
        """Reset the open connections of a link."""
        self.loop.call_soon_threadsafe(_reset, link)

    def isolate(self, domain: str) -> None:
        """Block all links from and to a domain."""
        for link in self.links.values():
            if domain in (link.source, link.target):
                link.is_blocked = True

    def heal(self) -> None:
        """Unblock all links; open connections pass traffic again."""
        for link in self.links.values():
            link.is_blocked = False

    def set_delay(self, seconds: float) -> None:
        """Delay traffic between domains in each direction."""
        for link in self.links.values():
            link.delay_seconds = seconds

    def close(self) -> None:
        """Close all relays and stop the thread."""
        asyncio.run_coroutine_threadsafe(self._close(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    async def _listen(self, link: Link, ip: str, port: int) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(link, ip, port, reader, writer)

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self.servers.append(server)
        bound_port: int = server.sockets[0].getsockname()[1]
        return bound_port

    async def _serve(
        self,
        link: Link,
        ip: str,
        port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.writers.add(writer)
        try:
            held = await _hold_until_passable(link, reader)
            target_reader, target_writer = await asyncio.open_connection(ip, port)
        except OSError:
            self.writers.discard(writer)
            writer.close()
            return
        target_writer.write(held)
        self.writers.add(target_writer)
        link.writers |= {writer, target_writer}
        forwarders = [
            asyncio.create_task(_forward(link, reader, target_writer, is_return=False)),
            asyncio.create_task(_forward(link, target_reader, writer, is_return=True)),
        ]
        await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        for forwarder in forwarders:
            forwarder.cancel()
        for open_writer in (writer, target_writer):
            self.writers.discard(open_writer)
            link.writers.discard(open_writer)
            open_writer.close()

    async def _close(self) -> None:
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _forward(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_return: bool
) -> None:
    with suppress(OSError):
        while data := await reader.read(
            LIMITED_CHUNK_BYTES if is_return and link.return_bytes_per_second else CHUNK_BYTES
        ):
            await _wait_until_passable(link, is_return)
            if link.delay_seconds:
                await asyncio.sleep(link.delay_seconds)
            if is_return and link.return_bytes_per_second:
                await asyncio.sleep(len(data) / link.return_bytes_per_second)
            writer.write(data)
            await writer.drain()


async def _hold_until_passable(link: Link, reader: asyncio.StreamReader) -> bytes:
    """Return what a client sends on a new connection while its link is blocked.

    :raises ConnectionError: when the client gives up. It tries again several times a second, and
        connections that are kept for nobody would take all the time of the relays.
    """
    held = bytearray()
    while link.is_blocked:
        try:
            async with asyncio.timeout(POLL_INTERVAL_SECONDS):
                data = await reader.read(CHUNK_BYTES)
        except TimeoutError:
            continue
        if not data:
            raise ConnectionAbortedError("the client has closed the connection")
        held += data
    return bytes(held)


async def _wait_until_passable(link: Link, is_return: bool = False) -> None:
    while True:
        if not (link.is_blocked or (is_return and link.is_return_blocked)):
            return
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


def _reset(link: Link) -> None:
    for writer in list(link.writers):
        connection = writer.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        writer.transport.abort()
