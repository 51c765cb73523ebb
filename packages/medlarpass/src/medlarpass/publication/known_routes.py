"""Documents of publications that share the routes that stay as they are."""

from __future__ import annotations

import operator

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable


def with_known_routes(
    document: Any, known: dict[str, Any], compare: Callable[[Any, Any], bool] = operator.eq
) -> Any:
    """Return a document whose routes are the objects of another one where they are the same.

    What is no document of a publication is returned as it is.

    :param document: parsed JSON
    :param known: document of a publication
    :param compare: whether two documents of routes are the same; for a document that was not
        checked this has to be :func:`is_same`
    """
    if not isinstance(document, dict) or not isinstance(document.get("routes"), list):
        return document
    routes = {route["name"]: route for route in known["routes"]}
    shared = []
    for route in document["routes"]:
        name = route.get("name") if isinstance(route, dict) else None
        same = routes.get(name) if isinstance(name, str) else None
        shared.append(same if same is not None and compare(same, route) else route)
    return {**document, "routes": shared}


def is_same(one: Any, other: Any) -> bool:
    """Return whether two values of parsed JSON are the same; true and 1 are not."""
    if one is other:
        return True
    if type(one) is not type(other):
        return False
    if isinstance(one, dict):
        return one.keys() == other.keys() and all(is_same(one[key], other[key]) for key in one)
    if isinstance(one, list):
        return len(one) == len(other) and all(map(is_same, one, other))
    return bool(one == other)
