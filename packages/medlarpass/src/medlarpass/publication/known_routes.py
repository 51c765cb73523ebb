"""Reuse of unchanged routes between documents of publications."""

from __future__ import annotations

import operator

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


def reuse_known_routes(
    document: Any, known: dict[str, Any], is_equal: Callable[[Any, Any], bool] = operator.eq
) -> Any:
    """Return a document that reuses the equal route objects of another document.

    A value that is not a document of a publication is returned unchanged.

    :param document: parsed JSON
    :param known: document of a publication
    :param is_equal: comparison of two routes; for a document that was not validated it must be
        :func:`is_same_json`
    """
    if not isinstance(document, dict) or not isinstance(document.get("routes"), list):
        return document
    known_by_name = {route["name"]: route for route in known["routes"]}
    routes_with_reuse = []
    for route in document["routes"]:
        name = route.get("name") if isinstance(route, dict) else None
        known_route = known_by_name.get(name) if isinstance(name, str) else None
        routes_with_reuse.append(
            known_route if known_route is not None and is_equal(known_route, route) else route
        )
    return {**document, "routes": routes_with_reuse}


def is_same_json(left: Any, right: Any) -> bool:
    """Return whether two values of parsed JSON are the same; unlike ``==``, true is not 1."""
    if left is right:
        return True
    if type(left) is not type(right):
        return False
    if isinstance(left, dict):
        return left.keys() == right.keys() and all(
            is_same_json(left[key], right[key]) for key in left
        )
    if isinstance(left, list):
        return len(left) == len(right) and all(map(is_same_json, left, right))
    return bool(left == right)
