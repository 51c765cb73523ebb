from __future__ import annotations

from typing import Any

import pytest

from medlarpass.publication import PrefixMatcher
from medlarpass.publication import Publication
from medlarpass.tables import RouteNotFoundError


class CountingPath(str):
    """A path that counts how often a part of it is copied."""

    __slots__ = ("copies",)
    copies: int

    def __getitem__(self, index: Any) -> str:
        self.copies = getattr(self, "copies", 0) + 1
        return super().__getitem__(index)


def matcher_of(*prefixes: str) -> PrefixMatcher:
    """Return the matcher of routes with these prefixes and names."""
    routes = [
        {
            "name": prefix,
            "host": "stock.example",
            "prefix": prefix,
            "class": "enquiry",
            "timeout": 1.0,
            "target": 0.4,
            "priority": 1,
            "attempts": 2,
            "shares": [{"pool": "stock", "weight": 1}],
        }
        for prefix in prefixes
    ]
    pools = [{"name": "stock", "owned": False, "connections": 100}]
    document = {"version": 1, "key_header": "Key", "routes": routes, "pools": pools, "limits": {}}
    return Publication.from_document(document).matcher


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/a/", "/a/"),
        ("/a/b", "/a/"),
        ("/a/b/", "/a/b/"),
        ("/a/b/c/d", "/a/b/"),
        ("/x", "/"),
        ("/ab/c", "/"),
        ("//", "/"),
    ],
)
def test_the_longest_prefix_wins(path: str, expected: str) -> None:
    """Guards against a request that goes to the pool of a less specific route."""
    assert (
        matcher_of("/", "/a/", "/a/b/", "/aa/").find("stock.example", path, "GET").name == expected
    )


@pytest.mark.parametrize("path", ["", "/", "/b/", "/a"])
def test_a_path_without_a_route_is_not_found(path: str) -> None:
    """Guards against a request that is run by a server of another route."""
    with pytest.raises(RouteNotFoundError):
        matcher_of("/a/").find("stock.example", path, "GET")
    with pytest.raises(RouteNotFoundError):
        matcher_of("/a/").find("other.example", "/a/", "GET")


def test_the_work_of_a_look_up_does_not_grow_with_the_path() -> None:
    """Guards against an entry that answers nobody while callers send paths of many slashes.

    The path was copied up to each of its slashes (review/8).
    """
    path = CountingPath("/none/" + "/" * 15_000)
    with pytest.raises(RouteNotFoundError):
        matcher_of("/a/", "/a/b/", "/c/").find("stock.example", path, "GET")
    assert path.copies <= 4
