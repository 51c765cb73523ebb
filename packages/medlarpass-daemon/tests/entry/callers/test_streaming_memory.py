"""Large bodies pass through an entry in bounded memory."""

from __future__ import annotations

import asyncio
import sys

from pathlib import Path
from typing import Any

import pytest

PAGE = 4096
BODY = 256 << 20
GROWTH = 32 << 20
PART = b"x" * 65536

#: Runs an entry in a process of its own, so that only its memory is measured.
CHILD = """
import asyncio, importlib.util, sys

async def main():
    spec = importlib.util.spec_from_file_location("stand_ins", sys.argv[1])
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    world = module.World()
    world.routing.add("art", path="/art/**", methods=["GET", "PUT"], deadline_ms=600000,
                      limits={"body_bytes": 1 << 40}, **{"class": "download"})
    world.servers.targets.append(world.target(int(sys.argv[2])))
    entry = await world.entry()
    print(entry.port, flush=True)
    await asyncio.to_thread(sys.stdin.read)
    await world.close()

asyncio.run(main())
"""


def resident(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


async def watch(pid: int, peak: list[int]) -> None:
    while True:
        peak[0] = max(peak[0], resident(pid))
        await asyncio.sleep(0.01)


async def sending(request: Any, reader: Any, writer: Any) -> None:
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n".encode())
    for _ in range(BODY // len(PART)):
        writer.write(PART)
        await writer.drain()


async def receiving(request: Any, reader: Any, writer: Any) -> None:
    left = BODY
    while left:
        left -= len(await reader.read(65536))
        if left % (32 << 20) == 0:
            # A server slower than its caller would make an unbounded buffer grow.
            await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("direction", ["download", "upload"])
async def test_large_body_passes_in_bounded_memory(world: Any, direction: str) -> None:
    """Guards against bodies that are held in memory on their way."""
    behaviour = sending if direction == "download" else receiving
    server = await world.server(behaviour, reads_body=False)
    conftest = str(Path(__file__).with_name("conftest.py"))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CHILD,
        conftest,
        str(server.port),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    assert child.stdin is not None
    assert child.stdout is not None
    try:
        port = int(await child.stdout.readline())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        before = resident(child.pid)
        peak = [before]
        watching = asyncio.ensure_future(watch(child.pid, peak))
        await pass_body(reader, writer, direction, BODY)
        watching.cancel()
        writer.close()
        assert peak[0] - before < GROWTH
    finally:
        child.stdin.close()
        await asyncio.wait_for(child.wait(), 20)


async def pass_body(reader: Any, writer: Any, direction: str, size: int) -> None:
    if direction == "download":
        writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        left = size
        while left:
            part = await reader.read(1 << 20)
            assert part
            left -= len(part)
        return
    writer.write(f"PUT /art/a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode())
    for _ in range(size // len(PART)):
        writer.write(PART)
        await writer.drain()
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
