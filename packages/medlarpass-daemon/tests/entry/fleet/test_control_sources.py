"""Choice of the control replica that an entry follows."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.fleet.control_sources import ControlSources

ADDRESSES = [f"10.{domain}.0.{number}:1" for domain in range(5) for number in (1, 2)]
SOURCES = [fleet_pb2.FleetSource(address=address, domain=f"d{address[3]}") for address in ADDRESSES]


def sources_of(name: str = "e1", domain: str = "d3") -> ControlSources:
    """Return the sources of an entry that knows three seeds."""
    settings: Any = SimpleNamespace(name=name, domain=domain)
    seeds: Any = SimpleNamespace(addresses=ADDRESSES[:3])
    return ControlSources(settings, seeds)


def test_replicas_of_the_own_domain_come_first() -> None:
    """Guards against all entries following one replica, and unnecessary traffic between domains."""
    sources = sources_of()
    assert sources.next_address() in ADDRESSES[:3]
    sources.set_replicas(ADDRESSES, SOURCES)
    sources.restart_order()
    assert {sources.next_address(), sources.next_address()} == {"10.3.0.1:1", "10.3.0.2:1"}


def test_every_replica_is_tried_in_turn() -> None:
    """Guards against an entry that only tries unavailable replicas."""
    sources = sources_of()
    sources.set_replicas(ADDRESSES, SOURCES)
    assert {sources.next_address() for _ in ADDRESSES} == set(ADDRESSES)


def test_entries_of_a_domain_spread_over_its_replicas() -> None:
    """Guards against one overloaded and one idle relay."""
    chosen: dict[str, int] = {}
    for number in range(38):
        sources = sources_of(f"edge-{number}")
        sources.set_replicas(ADDRESSES, SOURCES)
        chosen[sources.preferred_address()] = chosen.get(sources.preferred_address(), 0) + 1
    assert len(chosen) == 2
    assert min(chosen.values()) > 8


def test_entries_without_a_replica_in_their_domain_spread_over_the_others() -> None:
    """Guards against one replica that gets all entries whose own replicas do not answer."""
    chosen = set()
    for number in range(38):
        sources = sources_of(f"edge-{number}", domain="d9")
        sources.set_replicas(ADDRESSES, SOURCES)
        chosen.add(sources.next_address())
    assert len(chosen) == len(ADDRESSES)


def test_an_entry_leaves_another_domain_only_for_its_own() -> None:
    """Guards against entries that change replicas without a benefit."""
    sources = sources_of()
    sources.set_replicas(ADDRESSES, SOURCES)
    assert sources.has_local_alternative("10.0.0.1:1")
    assert not sources.has_local_alternative("10.3.0.2:1")
    sources.set_replicas(ADDRESSES, [source for source in SOURCES if source.domain != "d3"])
    assert not sources.has_local_alternative("10.0.0.1:1")


def test_an_update_without_sources_changes_nothing() -> None:
    """Guards against an entry that discards the replicas, which are only sent when they change."""
    sources = sources_of()
    sources.set_replicas(ADDRESSES, SOURCES)
    sources.set_replicas([], [])
    assert sources.preferred_address().startswith("10.3.")
