"""Large bodies are streamed through an entry in bounded memory."""

from __future__ import annotations

import asyncio
import sys

from pathlib import Path
from typing import Any

import pytest

PAGE_SIZE_BYTES = 4096
BODY_SIZE_BYTES = 256 << 20
MAX_GROWTH_BYTES = 32 << 20
CHUNK = b"x" * 65536

#: Runs an entry in a separate process, so that only its memory is measured.
CHILD_SOURCE = """
import asyncio, importlib.util, sys

async def main():
    spec = importlib.util.spec_from_file_location("stand_ins", sys.argv[1])
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    harness = module.EntryHarness()
    harness.routing.add("art", path="/art/**", methods=["GET", "PUT"], deadline_ms=600000,
                      limits={"body_bytes": 1 << 40}, **{"class": "download"})
    harness.servers.targets.append(harness.target(int(sys.argv[2])))
    entry = await harness.start_entry()
    print(entry.port, flush=True)
    await asyncio.to_thread(sys.stdin.read)
    await harness.close()

asyncio.run(main())
"""


def resident_bytes(pid: int) -> int:
    """Return the resident set size of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_SIZE_BYTES


async def track_peak(pid: int, peak: list[int]) -> None:
    while True:
        peak[0] = max(peak[0], resident_bytes(pid))
        await asyncio.sleep(0.01)


async def send_body(request: Any, reader: Any, writer: Any) -> None:
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {BODY_SIZE_BYTES}\r\n\r\n".encode())
    for _ in range(BODY_SIZE_BYTES // len(CHUNK)):
        writer.write(CHUNK)
        await writer.drain()


async def receive_body(request: Any, reader: Any, writer: Any) -> None:
    remaining = BODY_SIZE_BYTES
    while remaining:
        remaining -= len(await reader.read(65536))
        if remaining % (32 << 20) == 0:
            # Reading more slowly than the caller sends makes an unbounded buffer grow.
            await asyncio.sleep(0.02)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize("direction", ["download", "upload"])
async def test_large_body_passes_in_bounded_memory(harness: Any, direction: str) -> None:
    """Guards against bodies that are buffered completely in memory."""
    behaviour = send_body if direction == "download" else receive_body
    server = await harness.start_server(behaviour, reads_body=False)
    conftest = str(Path(__file__).with_name("conftest.py"))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CHILD_SOURCE,
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
        before = resident_bytes(child.pid)
        peak = [before]
        watching = asyncio.ensure_future(track_peak(child.pid, peak))
        await transfer_body(reader, writer, direction, BODY_SIZE_BYTES)
        watching.cancel()
        writer.close()
        assert peak[0] - before < MAX_GROWTH_BYTES
    finally:
        child.stdin.close()
        await asyncio.wait_for(child.wait(), 20)


async def transfer_body(reader: Any, writer: Any, direction: str, size: int) -> None:
    if direction == "download":
        writer.write(b"GET /art/a HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        remaining = size
        while remaining:
            part = await reader.read(1 << 20)
            assert part
            remaining -= len(part)
        return
    writer.write(f"PUT /art/a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n".encode())
    for _ in range(size // len(CHUNK)):
        writer.write(CHUNK)
        await writer.drain()
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200")
