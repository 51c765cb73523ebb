"""Callers that send requests which never end, and the resources that a process uses for them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from pathlib import Path

CROWD_SIZE = 16
CROWD_SECONDS = 2.0
#: Bytes that the kernel holds for a member; the rest of what it sends is at the other side.
SEND_BUFFER_BYTES = 65536
#: Value for ``clear_refs`` that resets the peak of the resident memory (proc(5)).
RESET_PEAK = "5"

PART = 65536
GET = b"GET %s HTTP/1.1\r\nHost: rolls.example\r\n"

#: First bytes and the bytes that follow without end, by kind. ``%s`` is the path of the requests.
ENDLESS = {
    "field": (GET + b"X-Pad: ", b"y" * PART),
    "method": (b"", b"A" * PART),
    "request line": (b"GET %s?", b"a" * PART),
    "field name": (GET, b"X" * PART),
    "many fields": (GET, b"X-Pad: 1\r\n" * (PART // 10)),
    "empty lines": (b"", b"\r\n" * (PART // 2)),
    "empty lines after a request": (GET + b"\r\n", b"\r\n" * (PART // 2)),
    "pipelined requests": (b"", (GET + b"\r\n") * 512),
    "unread body": (
        b"POST %s HTTP/1.1\r\nHost: rolls.example\r\nContent-Length: 99999999999\r\n\r\n",
        b"b" * PART,
    ),
    "unread chunks": (
        b"POST %s HTTP/1.1\r\nHost: rolls.example\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"1\r\nb\r\n" * (PART // 6),
    ),
    "chunk size": (
        b"POST %s HTTP/1.1\r\nHost: rolls.example\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"0" * PART,
    ),
}


class ProcessResources:
    """Memory and descriptors that a process uses from now on.

    :param pid: id of a child process
    """

    def __init__(self, pid: int) -> None:
        self.folder = Path(f"/proc/{pid}")
        (self.folder / "clear_refs").write_text(RESET_PEAK)
        self.memory_before = self._status_bytes("VmRSS")
        self.descriptors_before = self.open_descriptors()

    def memory_growth(self) -> int:
        """Return by how many bytes the peak of the resident memory exceeds the initial memory."""
        return self._status_bytes("VmHWM") - self.memory_before

    def open_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(list((self.folder / "fd").iterdir()))

    def _status_bytes(self, field: str) -> int:
        for line in (self.folder / "status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024
        raise ValueError(f"no {field}: the process has ended")


async def send_without_end(ip: str, port: int, path: str, kind: str) -> list[int]:
    """Send requests of a kind with all members; return the bytes that each connection took.

    A member whose connection is closed opens another one. No member reads.
    """
    first, rest = (part.replace(b"%s", path.encode()) for part in ENDLESS[kind])
    end = time.monotonic() + CROWD_SECONDS
    taken = await asyncio.gather(*(_send(ip, port, first, rest, end) for _ in range(CROWD_SIZE)))
    return [size for sizes in taken for size in sizes]


async def _send(ip: str, port: int, first: bytes, rest: bytes, end: float) -> list[int]:
    loop = asyncio.get_running_loop()
    taken = []
    while time.monotonic() < end:
        sent = 0
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(max(end - time.monotonic(), 0)):
                    await loop.sock_connect(connection, (ip, port))
                    await loop.sock_sendall(connection, first)
                    while True:
                        await loop.sock_sendall(connection, rest)
                        sent += len(rest)
                        await asyncio.sleep(0)
        taken.append(sent)
        await asyncio.sleep(0.01)
    return taken


async def send_slowly(ip: str, port: int, path: str, seconds: float) -> int:
    """Send heads at one byte a second with all connections; return how many were closed in time."""
    head = GET.replace(b"%s", path.encode()) + b"X-Pad: " + b"y" * round(seconds)
    closed = await asyncio.gather(*(_drip(ip, port, head, seconds) for _ in range(CROWD_SIZE)))
    return sum(closed)


async def _drip(ip: str, port: int, head: bytes, seconds: float) -> bool:
    reader, writer = await asyncio.open_connection(ip, port)
    dripping = asyncio.create_task(_write_bytes(writer, head))
    try:
        async with asyncio.timeout(seconds):
            while await reader.read(PART):
                pass
    except TimeoutError:
        return False
    except ConnectionError:
        return True
    finally:
        dripping.cancel()
        writer.transport.abort()
    return True


async def _write_bytes(writer: asyncio.StreamWriter, head: bytes) -> None:
    for byte in head:
        writer.write(bytes((byte,)))
        await asyncio.sleep(1)
