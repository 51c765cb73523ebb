"""Connections to servers that an entry does not prefer."""

from __future__ import annotations

from typing import Any

import pytest

from medlarpass_daemon.entry.callers.domain_router import DomainRouter

REQUEST_COUNT = 3


@pytest.mark.parametrize(("server_domain", "connections"), [("d1", 1), ("d2", REQUEST_COUNT)])
async def test_connections_outside_the_subset_are_not_kept(
    harness: Any, server_domain: str, connections: int
) -> None:
    """Guards against 75 entries that each keep connections to all servers of a pool."""
    server = await harness.start_server()
    harness.servers.targets[0].domain = server_domain
    context = (await harness.start_entry()).context
    context.domain_router = DomainRouter(
        "e1",
        "d1",
        lambda pool, domain: {},
        context.server_selector,
        context.clock,
        context.metrics,
    )
    for _ in range(REQUEST_COUNT):
        assert (await harness.send("/orders", "POST")).status == 200
    assert len(server.requests) == REQUEST_COUNT
    assert server.connections == connections
