from __future__ import annotations

import random

from typing import Any

from medlarpass.publication import Publication
from medlarpass.publication import PublicationChange
from packages.medlarpass.tests.publication.documents import document

VERSIONS = 200


def with_routes(version: int, routes: dict[str, float]) -> dict[str, Any]:
    """Return a document with routes of these names and timeouts."""
    made = document(version)
    (template,) = made["routes"]
    made["routes"] = [
        {**template, "name": name, "prefix": f"/{name}/", "timeout": timeout}
        for name, timeout in routes.items()
    ]
    return made


def by_name(made: dict[str, Any]) -> dict[str, Any]:
    return {**made, "routes": {route["name"]: route for route in made["routes"]}}


def test_changes_lead_to_the_same_publication() -> None:
    """Guards against a route that is lost, kept or stale after a series of changes."""
    chooser = random.Random(5)
    routes = {f"r{number}": 1.0 for number in range(20)}
    held = with_routes(1, routes)
    before = held
    for version in range(2, VERSIONS):
        for name in chooser.sample(sorted(routes), k=min(2, len(routes))):
            del routes[name]
        for _ in range(chooser.randrange(4)):
            routes[f"r{chooser.randrange(40)}"] = float(chooser.randint(1, 3))
        after = with_routes(version, routes)
        change = PublicationChange.between(before, after)
        held = PublicationChange.from_json(change.to_json()).applied_to(held)
        assert by_name(held) == by_name(after)
        before = after


def test_a_change_of_one_route_does_not_grow_with_the_others() -> None:
    """Guards against a whole publication on the link of each entry for the change of a time-out."""
    routes = {f"r{number}": 1.0 for number in range(5000)}
    before = with_routes(1, routes)
    routes["r7"] = 2.0
    change = PublicationChange.between(before, with_routes(2, routes))
    assert len(change.to_json()) < 1000


def test_routes_that_stay_are_not_built_again() -> None:
    """Guards against an entry whose loop stops while thousands of routes are built anew."""
    routes = {f"r{number}": 1.0 for number in range(10)}
    known = Publication(with_routes(1, routes))
    routes["r3"] = 2.0
    change = PublicationChange.between(known.document, with_routes(2, routes))
    newer = Publication(change.applied_to(known.document), known)
    same = {each.name for each in newer.routes if any(each is other for other in known.routes)}
    assert same == set(routes) - {"r3"}
    assert newer.matcher.find("stock.example", "/r3/x", "GET").deadline == 2.0


def test_routes_are_built_again_when_limits_change() -> None:
    """Guards against routes that keep the limits of an earlier version."""
    known = Publication(with_routes(1, {"r1": 1.0}))
    after = with_routes(2, {"r1": 1.0})
    after["limits"] = {"body_bytes": 7}
    change = PublicationChange.between(known.document, after)
    newer = Publication(change.applied_to(known.document), known)
    assert newer.routes[0].body_bytes == 7
