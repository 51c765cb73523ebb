"""The whole path as real processes on loopback, with stand-ins of servers and the operator."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.soak.fleet_system import FleetSystem

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path


@pytest.fixture
async def system(tmp_path: Path) -> AsyncIterator[FleetSystem]:
    """Return a system that serves all three kinds of request."""
    made = FleetSystem(tmp_path)
    try:
        await made.start()
        await made.publish(1)
        for name, pool, owned in (
            ("i-1", "stock", True),
            ("i-2", "stock", True),
            ("i-3", "orders", False),
            ("i-4", "art", False),
        ):
            await made.add_server(pool, name, owned)
        for path in ("/stock/7", "/orders/7", "/art/7"):
            await made.until_served(path)
        yield made
    finally:
        await made.stop()
