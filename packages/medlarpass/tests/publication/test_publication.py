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
    """Guards against a value of the document that ends up in another field."""
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


@pytest.mark.parametrize(
    "changes",
    [{"timeout": True}, {"attempts": 0}, {"shares": []}, {"class": "odd"}, {"priority": 2.0}],
)
def test_a_changed_route_is_checked_beside_known_ones(changes: dict[str, Any]) -> None:
    """Guards against an invalid route that passes because it looks like the known one.

    True and 2.0 equal 1 and 2.
    """
    base = document(timeout=1)
    known = Publication.from_document(base)
    wrong = document(2, timeout=1)
    wrong["routes"][0].update(changes)
    with pytest.raises(InvalidPublicationError) as alone:
        Publication.from_document(wrong)
    with pytest.raises(InvalidPublicationError) as beside:
        Publication.from_document(wrong, known)
    assert alone.value.message == beside.value.message


@pytest.mark.parametrize("wrong", [None, [], {}, {"routes": 7}, {"routes": [7, {"name": []}]}])
def test_what_is_no_document_is_refused_beside_known_routes(wrong: Any) -> None:
    """Guards against a crash on bytes that some other program has sent."""
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(wrong, Publication.from_document(document()))


def test_routes_that_stay_are_not_checked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a leader that stands still while it checks thousands of routes again."""
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
    made = Publication.from_document(newer, known)
    assert sizes == [1]
    assert made.document == newer
    assert Publication.from_json(made.to_json(), known).document == newer
