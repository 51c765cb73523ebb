"""Runs one or more stand-in servers in one process."""

from __future__ import annotations

import argparse
import asyncio
import signal

from pathlib import Path

from examples.standin.options import StandinOptions
from examples.standin.server import StandinServer


def parse_arguments() -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(description="Stand-in backend servers.")
    parser.add_argument(
        "--server", action="append", required=True, help="IDENTITY=PORT; repeat for more servers"
    )
    parser.add_argument("--ip", default="127.0.0.1")
    parser.add_argument("--domain", required=True)
    parser.add_argument(
        "--entry", action="append", required=True, help="base URL of an entry; repeat for all"
    )
    parser.add_argument("--pool", action="append", required=True)
    parser.add_argument("--slots", type=int, default=3)
    parser.add_argument("--connections", type=int, default=100)
    parser.add_argument("--work-ms", type=float, default=0.0)
    parser.add_argument(
        "--pause-ms", type=float, default=0.0, help="pause asked for when load is shed"
    )
    parser.add_argument("--journal", type=Path, required=True)
    parser.add_argument("--ownership-journal", type=Path, help="file for enquiries and grants")
    return parser.parse_args()


async def run(options: argparse.Namespace) -> None:
    """Run the servers until SIGTERM, then shut them down gracefully."""
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    servers = []
    for server in options.server:
        identity, _, port = server.partition("=")
        servers.append(StandinServer(StandinOptions(identity, int(port), options)))
    await asyncio.gather(*(server.start() for server in servers))
    await stopped.wait()
    await asyncio.gather(*(server.shut_down() for server in servers))


if __name__ == "__main__":
    asyncio.run(run(parse_arguments()))
