from __future__ import annotations

import copy

from typing import Any

import pytest

from medlarpass.publication import InvalidPublicationError
from medlarpass.publication import Publication
from medlarpass.publication import publication as publication_module
from medlarpass.tables import RequestClass
from medlarpass.tables import RouteNotFoundError
from packages.medlarpass.tests.publication.documents import document


def test_routes_and_limits_are_read() -> None:
    """Guards against a value of the document stored in the wrong field."""
    publication = Publication.from_document(document())
    route = publication.routes[0]
    assert (route.deadline, route.target_latency, route.priority, route.max_attempts) == (
        1.5,
        0.6,
        2,
        2,
    )
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
    """Guards against accepting a configuration that the platform treats as invalid."""
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(document(**changes))


def test_two_routes_may_not_share_host_and_prefix() -> None:
    """Guards against a route that silently shadows another one."""
    invalid = document()
    invalid["routes"].append({**invalid["routes"][0], "name": "other"})
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(invalid)


@pytest.mark.parametrize("missing", ["routes", "pools", "limits", "version"])
def test_an_incomplete_document_is_refused(missing: str) -> None:
    """Guards against publishing a truncated text of the operator."""
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
    """Guards against a request that gets a route with a shorter prefix, or none."""
    two = document()
    two["routes"].append({**two["routes"][0], "name": "wide", "prefix": "/rolls/wide/"})
    matcher = Publication.from_document(two).matcher
    if expected is None:
        with pytest.raises(RouteNotFoundError):
            matcher.find("stock.example", path, "GET")
    else:
        assert matcher.find("Stock.Example", path, "GET").name == expected


def test_the_text_form_keeps_everything() -> None:
    """Guards against entries with another configuration than control has accepted."""
    publication = Publication.from_document(document())
    assert Publication.from_json(publication.to_json()).document == publication.document


@pytest.mark.parametrize(
    "changes",
    [{"timeout": True}, {"attempts": 0}, {"shares": []}, {"class": "odd"}, {"priority": 2.0}],
)
def test_a_changed_route_is_validated_among_known_ones(changes: dict[str, Any]) -> None:
    """Guards against an invalid route that is accepted because it equals a known one.

    In Python True equals 1, and 2.0 equals 2.
    """
    base = document(timeout=1)
    known = Publication.from_document(base)
    wrong = document(2, timeout=1)
    wrong["routes"][0].update(changes)
    with pytest.raises(InvalidPublicationError) as without_known:
        Publication.from_document(wrong)
    with pytest.raises(InvalidPublicationError) as with_known:
        Publication.from_document(wrong, known)
    assert without_known.value.message == with_known.value.message


@pytest.mark.parametrize("wrong", [None, [], {}, {"routes": 7}, {"routes": [7, {"name": []}]}])
def test_a_value_that_is_no_document_is_refused_with_known_routes(wrong: Any) -> None:
    """Guards against a crash on data that is not a publication."""
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(wrong, Publication.from_document(document()))


def test_unchanged_routes_are_not_validated_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader that blocks while it validates thousands of unchanged routes."""
    base = document()
    template = base["routes"][0]
    base["routes"] = [
        {**template, "name": f"r{number}", "prefix": f"/{number}/"} for number in range(500)
    ]
    known = Publication.from_document(base)
    newer = copy.deepcopy(base)
    newer["version"] = 2
    newer["routes"][7]["timeout"] = 3
    sizes = []
    schema = publication_module.SCHEMA

    def counting(checked: Any) -> Any:
        sizes.append(len(checked["routes"]))
        return schema(checked)

    monkeypatch.setattr(publication_module, "SCHEMA", counting)
    publication = Publication.from_document(newer, known)
    assert sizes == [1]
    assert publication.document == newer
    assert Publication.from_json(publication.to_json(), known).document == newer
