"""Waits with a bound."""

from __future__ import annotations

import asyncio


async def wait_until_set(event: asyncio.Event, timeout: float) -> None:
    """Return once an event is set, or after ``timeout`` seconds."""
    try:
        async with asyncio.timeout(timeout):
            await event.wait()
    except TimeoutError:
        return
