"""TCP relays between failure domains that can be cut and slowed down."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

from contextlib import suppress

from tools.bench.ports import LOOPBACK

CHUNK = 64 * 1024
#: Bytes that a link with a bound passes on at a time.
SMALL_CHUNK = 1024
CHECK_PAUSE = 0.01
#: Linger on, for 0 s: a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Link:
    """Traffic from one failure domain to another.

    :param source: domain that connects
    :param target: domain that is connected to
    """

    def __init__(self, source: str, target: str) -> None:
        self.source = source
        self.target = target
        #: A cut link keeps connections open and passes nothing, as a real partition does.
        self.cut = False
        #: Like ``cut``, for what the target sends only.
        self.cut_back = False
        self.delay = 0.0
        #: Bytes a second that the target can send; 0 sets no bound.
        self.rate_back = 0
        self.writers: set[asyncio.StreamWriter] = set()


class RelayNetwork:
    """All relays of a cluster, served by one thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.links: dict[tuple[str, str], Link] = {}
        self.servers: list[asyncio.Server] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.thread.start()

    def add(self, source: str, target: str, port: int, ip: str = LOOPBACK) -> int:
        """Open a relay to a port.

        :param source: domain of those who connect
        :param target: domain of the port
        :param ip: address of the port
        :returns: port of the relay
        """
        link = self.links.setdefault((source, target), Link(source, target))
        future = asyncio.run_coroutine_threadsafe(self._listen(link, ip, port), self.loop)
        return future.result(10)

    def reset(self, link: Link) -> None:
        """Reset the open connections of a link."""
        self.loop.call_soon_threadsafe(_reset, link)

    def isolate(self, domain: str) -> None:
        """Cut a domain off from all others."""
        for link in self.links.values():
            if domain in (link.source, link.target):
                link.cut = True

    def heal(self) -> None:
        """End all cuts; connections that were open during one are closed."""
        for link in self.links.values():
            link.cut = False

    def set_delay(self, seconds: float) -> None:
        """Delay all traffic between domains by this much in each direction."""
        for link in self.links.values():
            link.delay = seconds

    def close(self) -> None:
        """Close all relays and end the thread."""
        asyncio.run_coroutine_threadsafe(self._close(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(10)

    async def _listen(self, link: Link, ip: str, port: int) -> int:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(link, ip, port, reader, writer)

        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self.servers.append(server)
        bound: int = server.sockets[0].getsockname()[1]
        return bound

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
            await _passable(link)
            up_reader, up_writer = await asyncio.open_connection(ip, port)
        except OSError:
            writer.close()
            return
        self.writers.add(up_writer)
        link.writers |= {writer, up_writer}
        pumps = [
            asyncio.create_task(_pump(link, reader, up_writer, is_back=False)),
            asyncio.create_task(_pump(link, up_reader, writer, is_back=True)),
        ]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
        for each in (writer, up_writer):
            self.writers.discard(each)
            link.writers.discard(each)
            each.close()

    async def _close(self) -> None:
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.close()
        tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _pump(
    link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_back: bool
) -> None:
    with suppress(OSError):
        while data := await reader.read(SMALL_CHUNK if is_back and link.rate_back else CHUNK):
            await _passable(link, is_back)
            if link.delay:
                await asyncio.sleep(link.delay)
            if is_back and link.rate_back:
                await asyncio.sleep(len(data) / link.rate_back)
            writer.write(data)
            await writer.drain()


async def _passable(link: Link, is_back: bool = False) -> None:
    while True:
        if not (link.cut or (is_back and link.cut_back)):
            return
        await asyncio.sleep(CHECK_PAUSE)


def _reset(link: Link) -> None:
    for writer in list(link.writers):
        connection = writer.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
