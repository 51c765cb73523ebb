"""Waits for events with a timeout."""

from __future__ import annotations

import asyncio


async def wait_until_set(event: asyncio.Event, timeout: float) -> None:
    """Wait until an event is set or ``timeout`` seconds have passed."""
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return
