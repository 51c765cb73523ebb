from __future__ import annotations

import random

from typing import Any

from medlarpass.publication import Publication
from medlarpass.publication import PublicationChange
from packages.medlarpass.tests.publication.documents import document

VERSION_COUNT = 200


def with_routes(version: int, routes: dict[str, float]) -> dict[str, Any]:
    """Return a document with routes of these names and timeouts."""
    result = document(version)
    (template,) = result["routes"]
    result["routes"] = [
        {**template, "name": name, "prefix": f"/{name}/", "timeout": timeout}
        for name, timeout in routes.items()
    ]
    return result


def by_name(publication: dict[str, Any]) -> dict[str, Any]:
    return {**publication, "routes": {route["name"]: route for route in publication["routes"]}}


def test_changes_lead_to_the_same_publication() -> None:
    """Guards against a missing, extra or outdated route after a series of changes."""
    rng = random.Random(5)
    routes = {f"r{number}": 1.0 for number in range(20)}
    received = with_routes(1, routes)
    previous = received
    for version in range(2, VERSION_COUNT):
        for name in rng.sample(sorted(routes), k=min(2, len(routes))):
            del routes[name]
        for _ in range(rng.randrange(4)):
            routes[f"r{rng.randrange(40)}"] = float(rng.randint(1, 3))
        current = with_routes(version, routes)
        change = PublicationChange.between(previous, current)
        received = PublicationChange.from_json(change.to_json()).applied_to(received)
        assert by_name(received) == by_name(current)
        previous = current


def test_a_change_of_one_route_does_not_grow_with_the_others() -> None:
    """Guards against sending all routes over the slow link of every entry for one timeout."""
    routes = {f"r{number}": 1.0 for number in range(5000)}
    previous = with_routes(1, routes)
    routes["r7"] = 2.0
    change = PublicationChange.between(previous, with_routes(2, routes))
    assert len(change.to_json()) < 1000


def test_unchanged_routes_are_not_built_again() -> None:
    """Guards against an entry that blocks while thousands of unchanged routes are built."""
    routes = {f"r{number}": 1.0 for number in range(10)}
    known = Publication(with_routes(1, routes))
    routes["r3"] = 2.0
    change = PublicationChange.between(known.document, with_routes(2, routes))
    newer = Publication(change.applied_to(known.document), known)
    same = {route.name for route in newer.routes if any(route is other for other in known.routes)}
    assert same == set(routes) - {"r3"}
    assert newer.matcher.find("stock.example", "/r3/x", "GET").deadline == 2.0


def test_routes_are_built_again_when_limits_change() -> None:
    """Guards against routes that keep the limits of an earlier version."""
    known = Publication(with_routes(1, {"r1": 1.0}))
    current = with_routes(2, {"r1": 1.0})
    current["limits"] = {"body_bytes": 7}
    change = PublicationChange.between(known.document, current)
    newer = Publication(change.applied_to(known.document), known)
    assert newer.routes[0].body_bytes == 7
