"""End-to-end tests of the limits of cold servers."""

from __future__ import annotations

import asyncio
import signal
import time

from typing import Any

WARMUP_RATE = 2.0
MAX_PER_SECOND = WARMUP_RATE * 1.5 + 8
#: Time for the heartbeat, the decision and the message to the entry.
DELAY_SECONDS = 1.5


async def publish_limits(system: Any) -> None:
    """Put a publication in force whose pools limit cold servers."""
    configuration = system.configuration(2)
    for pool in configuration["upstreams"]:
        pool["slow_start_s"], pool["warmup_per_s"] = 30, WARMUP_RATE
    await system.wait_until(
        lambda: system.call_control("config.put", configuration), lambda result: result[0] == 200
    )


async def send_for(system: Any, seconds: float) -> list[tuple[int, float]]:
    """Send about 25 requests a second, and return their statuses and Retry-After."""
    results = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        status, _, headers = await system.send_request("/orders/1", "POST")
        results.append((status, float(headers.get("Retry-After", 0))))
        await asyncio.sleep(0.03)
    return results


def busiest_second(arrivals: list[float], begin: float) -> int:
    """Return the most requests that arrived in a second after a point in time."""
    late = [at for at in arrivals if at >= begin]
    return max((sum(at <= other < at + 1.0 for other in late) for at in late), default=0)


async def leader_of(system: Any) -> str:
    """Return the name of the control replica that leads."""
    newest: list[tuple[int, str]] = []
    for name in system.controls:
        for line in system.log_of(name):
            if line["message_type"] == "medlarpass:range_keeper_started":
                newest.append((line["term"], name))
    return max(newest)[1]


async def test_a_cold_server_is_limited_also_when_the_leader_is_lost(system: Any) -> None:
    """Guards against a cold server that gets the usual load, before or after an election."""
    await publish_limits(system)
    orders = next(server for server in system.servers if server.pool == "orders")
    await system.wait_until_served("/orders/1", method="POST")
    await send_for(system, 2.5)
    orders.cold_until = time.monotonic() + 60.0
    await send_for(system, DELAY_SECONDS)
    limited_at = time.monotonic()
    results = await send_for(system, 3.0)
    process = system.processes[await leader_of(system)]
    process.send_signal(signal.SIGKILL)
    await process.wait()
    results += await send_for(system, 5.0)
    assert busiest_second(orders.arrivals, limited_at) <= MAX_PER_SECOND
    assert any(at >= limited_at for at in orders.arrivals)
    refused = [retry_after for status, retry_after in results if status == 503]
    assert len(refused) > len(results) / 2
    assert max(refused) > 20
    orders.cold_until = 0.0
    await system.wait_until(
        lambda: send_for(system, 0.5),
        lambda results: all(status == 200 for status, _ in results),
    )
