from __future__ import annotations

from typing import Any

import pytest

from medlarpass.publication import InvalidPublicationError
from medlarpass.publication import Publication
from medlarpass.tables import RequestClass
from medlarpass.tables import RouteNotFoundError
from packages.medlarpass.tests.publication.documents import document


def test_routes_and_limits_are_read() -> None:
    """Guards against a value of the document that ends up in another field."""
    publication = Publication.from_document(document())
    route = publication.routes[0]
    assert (route.deadline, route.target, route.priority, route.attempts) == (1.5, 0.6, 2, 2)
    assert route.request_class is RequestClass.ENQUIRY
    assert route.body_bytes == 1000
    assert publication.limits.idle_seconds == 15
    assert publication.pools["stock"].owned


@pytest.mark.parametrize(
    "changes",
    [
        {"shares": [{"pool": "missing", "weight": 1}]},
        {"shares": [{"pool": "stock", "weight": -1}, {"pool": "orders", "weight": 2}]},
        {"shares": [{"pool": "stock", "weight": 0}]},
        {"shares": []},
        {"target": 61.5},
        {"class": "odd"},
        {"prefix": "/rolls"},
        {"timeout": 0},
        {"timeout": True},
        {"attempts": 0},
        {"priority": "high"},
    ],
)
def test_an_invalid_route_is_refused(changes: dict[str, Any]) -> None:
    """Guards against a configuration in force that the platform counts as invalid."""
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(document(**changes))


def test_two_routes_may_not_share_host_and_prefix() -> None:
    """Guards against a route that silently hides another one."""
    invalid = document()
    invalid["routes"].append({**invalid["routes"][0], "name": "other"})
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(invalid)


@pytest.mark.parametrize("missing", ["routes", "pools", "limits", "version"])
def test_a_cut_off_document_is_refused(missing: str) -> None:
    """Guards against a publication that lacks a part of the operator's text."""
    invalid = document()
    del invalid[missing]
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(invalid)


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/rolls/7", "stock"),
        ("/rolls/", "stock"),
        ("/rolls/wide/7", "wide"),
        ("/rolls/widest/7", "stock"),
        ("/rolls", None),
        ("/other/", None),
    ],
)
def test_the_longest_prefix_wins(path: str, expected: str | None) -> None:
    """Guards against a request that runs under a shorter prefix or none."""
    two = document()
    two["routes"].append({**two["routes"][0], "name": "wide", "prefix": "/rolls/wide/"})
    matcher = Publication.from_document(two).matcher
    if expected is None:
        with pytest.raises(RouteNotFoundError):
            matcher.find("stock.example", path, "GET")
    else:
        assert matcher.find("Stock.Example", path, "GET").name == expected


def test_the_text_form_keeps_everything() -> None:
    """Guards against entries that put something else in force than control has accepted."""
    publication = Publication.from_document(document())
    assert Publication.from_json(publication.to_json()).document == publication.document
