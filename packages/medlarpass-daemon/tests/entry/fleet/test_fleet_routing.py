from __future__ import annotations

import json
import zlib

from collections import Counter
from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass.rpc import control_pb2
from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.entry.callers.exceptions import RoutesUnknownError
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
from medlarpass_daemon.exceptions import PublicationGapError
from medlarpass_daemon.publication_parts import PublicationAssembler
from medlarpass_daemon.publication_parts import pack_publication


def routing_of() -> FleetRouting:
    """Return the routing of an entry without a publication."""
    return FleetRouting(PublicationAge(ManualClock(), 2.0))


def apply_publication(routing: FleetRouting, message: control_pb2.Publish) -> bool:
    """Apply a whole publication at an entry and return whether it is now in force."""
    (part,) = pack_publication(message.version, message.document)
    return routing.apply_part(part, PublicationAssembler())


def publication(version: int, weights: dict[str, float]) -> control_pb2.Publish:
    """Return a publication with one route."""
    document: dict[str, Any] = {
        "version": version,
        "key_header": "Key",
        "routes": [
            {
                "name": "art",
                "host": "art.example",
                "prefix": "/art/",
                "class": "download",
                "timeout": 1,
                "target": 0.4,
                "priority": 2,
                "attempts": 2,
                "shares": [{"pool": name, "weight": weight} for name, weight in weights.items()],
            }
        ],
        "pools": [{"name": name, "owned": False, "connections": 10} for name in weights],
        "limits": {},
    }
    return control_pb2.Publish(version=version, document=json.dumps(document).encode())


def test_an_entry_without_routes_does_not_deny_them() -> None:
    """Guards against 404 from an entry that has just started."""
    with pytest.raises(RoutesUnknownError):
        routing_of().matcher.find("art.example", "/art/7", "GET")


def test_an_older_version_never_returns() -> None:
    """Guards against an entry that applies an older version sent by a lagging replica."""
    routing = routing_of()
    assert apply_publication(routing, publication(7, {"new": 1}))
    assert not apply_publication(routing, publication(6, {"old": 1}))
    assert routing.revision == 7
    assert list(routing.pools) == ["new"]


@pytest.mark.parametrize(
    "weights", [{"a": 90, "b": 10}, {"a": 1, "b": 1, "c": 1}, {"a": 0, "b": 3}]
)
def test_each_pool_gets_its_share(weights: dict[str, float]) -> None:
    """Guards against shares that deviate randomly over a few hundred requests."""
    routing = routing_of()
    apply_publication(routing, publication(1, weights))
    route = routing.matcher.find("art.example", "/art/7", "GET")
    counts = Counter(routing.pool_of(route).name for _ in range(200))
    total = sum(weights.values())
    for name, weight in weights.items():
        assert abs(counts[name] - 200 * weight / total) <= 1


def test_unchanged_shares_keep_their_credits() -> None:
    """Guards against frequent changes of the configuration that favour the first pool."""
    routing = routing_of()
    counts: Counter[str] = Counter()
    for version in range(1, 201):
        apply_publication(routing, publication(version, {"a": 50, "b": 50}))
        route = routing.matcher.find("art.example", "/art/7", "GET")
        counts[routing.pool_of(route).name] += 1
    assert counts["a"] == counts["b"] == 100


def test_a_part_that_does_not_match_is_refused() -> None:
    """Guards against routes assembled from two versions, and a task ended by invalid bytes."""
    routing = routing_of()
    text = publication(7, {"a": 1}).document
    complete = fleet_pb2.PackedPublication(version=7, document=zlib.compress(text), parts=1)
    second = fleet_pb2.PackedPublication(version=7, document=b"x", part=1, parts=2)
    change = fleet_pb2.PackedPublication(version=7, base=6, document=zlib.compress(text), parts=1)
    random_bytes = fleet_pb2.PackedPublication(version=7, document=b"noise", parts=1)
    invalid_json = fleet_pb2.PackedPublication(version=7, document=zlib.compress(b"{"), parts=1)
    incomplete = fleet_pb2.PackedPublication(version=7, base=6, document=b"x", part=0, parts=3)
    for invalid in (second, change, random_bytes, invalid_json, incomplete):
        with pytest.raises(PublicationGapError):
            routing.apply_part(invalid, PublicationAssembler())
    assert routing.apply_part(complete, PublicationAssembler())
    assert routing.revision == 7
