"""Reports of entries that a relay combines for the leader."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.feed_updater import FeedUpdater
from medlarpass_daemon.control.fleet.fleet_service import FleetService
from medlarpass_daemon.control.fleet.report_relay import ReportRelay


async def test_response_times_reach_the_capacity_through_a_relay(new_simulation: Any) -> None:
    """Guards against a leader that takes queued responses for work because a relay lost a field."""
    simulation = new_simulation(1)
    rpc = SimpleNamespace(endpoint=lambda: "10.0.0.1:1")
    settings: Any = SimpleNamespace(name="control", domain="north", rpc=rpc)
    unused: Any = None
    feed = FeedUpdater(settings, simulation.log, simulation.fleet, unused, simulation.clock)
    relay = ReportRelay(feed, unused)
    for _ in range(2):
        time = fleet_pb2.ServerTime(
            identity="s0",
            answers=10,
            milliseconds=6000,
            unqueued_answers=5,
            unqueued_milliseconds=1500,
        )
        relay.add(fleet_pb2.EntryReport(times=[time]))
    service = FleetService(simulation.log, simulation.fleet, unused, feed, relay)
    await service.Report(relay._build_report(), None)
    # 3 slots and 0.3 s of work; with the 0.6 s of all responses it would be 5.
    assert simulation.fleet.capacity.rate_of("s0", 3) == 10.0
    assert not relay.response_times
