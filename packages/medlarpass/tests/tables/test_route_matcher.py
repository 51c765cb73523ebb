"""Guards against requests that are matched to the wrong route."""

from __future__ import annotations

import pytest

from medlarpass.tables import Route
from medlarpass.tables import RouteMatcher
from medlarpass.tables import RouteNotFoundError


def route(name: str, path: str, host: str = "*", methods: tuple[str, ...] = ("GET",)) -> Route:
    document = {
        "host": host,
        "path": path,
        "methods": list(methods),
        "class": "download",
        "pool": "p",
    }
    return Route.from_document(name, document)


ROUTES = [
    route("root", "/"),
    route("stock", "/stock/{roll}"),
    route("stock-index", "/stock/index"),
    route("art", "/art/**"),
    route("art-cover", "/art/cover/{n}"),
    route("named-host", "/stock/{roll}", host="shop.example"),
    route("order", "/stock/{roll}", methods=("POST",)),
]

CASES = [
    ("any", "/", "GET", "root", {}),
    ("any", "/stock/a%b", "GET", "stock", {"roll": "a%b"}),
    ("any", "/stock/index", "GET", "stock-index", {}),
    ("any", "/stock/index", "POST", "order", {"roll": "index"}),
    ("SHOP.example", "/stock/1", "GET", "named-host", {"roll": "1"}),
    ("shop.example", "/art/x", "GET", "art", {}),
    ("any", "/art", "GET", "art", {}),
    ("any", "/art/a/b/c", "GET", "art", {}),
    ("any", "/art/cover/3", "GET", "art-cover", {"n": "3"}),
    ("any", "/art/cover/3/4", "GET", "art", {}),
]


@pytest.mark.parametrize(("host", "path", "method", "name", "segments"), CASES)
def test_most_specific_route(
    host: str, path: str, method: str, name: str, segments: dict[str, str]
) -> None:
    match = RouteMatcher(ROUTES).match(host, path, method)
    assert match.route.name == name
    assert match.segments == segments


@pytest.mark.parametrize("path", ["/stock", "/stock/", "/stock/1/2", "/none", "//stock/1"])
def test_no_route(path: str) -> None:
    with pytest.raises(RouteNotFoundError):
        RouteMatcher(ROUTES).match("any", path, "GET")
