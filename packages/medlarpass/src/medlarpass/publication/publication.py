"""A version of all routes and pools."""

from __future__ import annotations

import json

from typing import Any

import voluptuous as vol

from medlarpass.publication.caller_limits import CallerLimits
from medlarpass.publication.exceptions import InvalidPublicationError
from medlarpass.publication.known_routes import is_same
from medlarpass.publication.known_routes import with_known_routes
from medlarpass.publication.prefix_matcher import PrefixMatcher
from medlarpass.publication.published_pool import PublishedPool
from medlarpass.publication.published_route import PublishedRoute
from medlarpass.tables import RequestClass

#: A target that exceeds the timeout by this many seconds is taken for a wrong unit.
TARGET_OVER_TIMEOUT = 60.0


def _number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise vol.Invalid("expected a number")
    return value


def _integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise vol.Invalid("expected an integer")
    return value


def _prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/") or not value.endswith("/"):
        raise vol.Invalid("expected a path that begins and ends with a slash")
    return value


TEXT = vol.All(str, vol.Length(min=1))
WEIGHT = vol.All(_number, vol.Range(min=0))
POSITIVE = vol.All(_number, vol.Range(min=0, min_included=False))

ROUTE = {
    vol.Required("name"): TEXT,
    vol.Required("host"): TEXT,
    vol.Required("prefix"): _prefix,
    vol.Required("class"): vol.In([each.value for each in RequestClass]),
    vol.Required("timeout"): POSITIVE,
    vol.Required("target"): POSITIVE,
    vol.Required("priority"): _integer,
    vol.Required("attempts"): vol.All(_integer, vol.Range(min=1)),
    vol.Required("shares"): vol.All(
        [{vol.Required("pool"): TEXT, vol.Required("weight"): WEIGHT}], vol.Length(min=1)
    ),
}
POOL = {
    vol.Required("name"): TEXT,
    vol.Required("owned"): bool,
    vol.Required("connections"): vol.All(_integer, vol.Range(min=1)),
}
SCHEMA = vol.Schema(
    {
        vol.Required("version"): vol.All(_integer, vol.Range(min=0)),
        vol.Required("key_header"): TEXT,
        vol.Required("routes"): [ROUTE],
        vol.Required("pools"): [POOL],
        vol.Required("limits"): {
            vol.Optional("header_bytes"): POSITIVE,
            vol.Optional("body_bytes"): POSITIVE,
            vol.Optional("header_seconds"): POSITIVE,
            vol.Optional("idle_seconds"): POSITIVE,
        },
    }
)


class Publication:
    """Routes, pools and limits under one version.

    :param document: document that :meth:`from_document` has checked
    :param known: an earlier publication; routes of the same objects in its document are taken from
        it, so that a small change of many routes costs little
    :raises InvalidPublicationError: when parts of it contradict each other
    """

    __slots__ = ("document", "limits", "matcher", "pools", "routes", "version")

    def __init__(self, document: dict[str, Any], known: Publication | None = None) -> None:
        self.document = document
        self.version: int = document["version"]
        self.limits = CallerLimits(document["limits"])
        self.pools = {item["name"]: PublishedPool(item["name"], item) for item in document["pools"]}
        self.routes = self._routes(known)
        self.matcher = PrefixMatcher(self.routes)
        self._check()

    @classmethod
    def from_document(cls, document: Any, known: Publication | None = None) -> Publication:
        """Check a document and build the publication.

        :param document: parsed JSON
        :param known: an earlier publication; routes that stay as they are in it need no check
        :raises InvalidPublicationError: naming the key and what was expected
        """
        shared = document
        if known is not None:
            shared = with_known_routes(document, known.document, is_same)
        try:
            return cls(_checked(shared, known), known)
        except vol.MultipleInvalid as error:
            first = error.errors[0]
            key = ".".join(str(part) for part in first.path)
            raise InvalidPublicationError(f"{key}: {first.msg}") from error

    @classmethod
    def from_json(cls, text: bytes, known: Publication | None = None) -> Publication:
        """Build a publication from the text that :meth:`to_json` returned.

        :param known: an earlier publication, whose routes are taken where they stay as they are
        """
        document = json.loads(text)
        if known is not None:
            document = with_known_routes(document, known.document)
        return cls(document, known)

    def to_json(self) -> bytes:
        """Return the document as JSON text."""
        return json.dumps(self.document, separators=(",", ":")).encode()

    def _routes(self, known: Publication | None) -> list[PublishedRoute]:
        key_header = self.document["key_header"]
        built: dict[int, PublishedRoute] = {}
        if known is not None and known.is_alike(self):
            pairs = zip(known.document["routes"], known.routes, strict=True)
            built = {id(item): route for item, route in pairs}
        return [
            built.get(id(item)) or PublishedRoute(item["name"], item, self.limits, key_header)
            for item in self.document["routes"]
        ]

    def is_alike(self, other: Publication) -> bool:
        """Return whether the same document of a route means the same in both publications."""
        names = ("key_header", "limits")
        return all(self.document[name] == other.document[name] for name in names)

    def _check(self) -> None:
        if len(self.pools) != len(self.document["pools"]):
            raise InvalidPublicationError("pools: expected each name once")
        if len({route.name for route in self.routes}) != len(self.routes):
            raise InvalidPublicationError("routes: expected each name once")
        for route in self.routes:
            for share in route.shares:
                if share.pool not in self.pools:
                    raise InvalidPublicationError(f"{route.name}: no pool {share.pool}")
            if sum(share.weight for share in route.shares) <= 0:
                raise InvalidPublicationError(f"{route.name}: expected a weight above 0")
            if route.target_latency >= route.deadline + TARGET_OVER_TIMEOUT:
                raise InvalidPublicationError(f"{route.name}: target far above the timeout")


def _has_routes(document: Any) -> bool:
    return isinstance(document, dict) and isinstance(document.get("routes"), list)


def _checked(document: Any, known: Publication | None) -> dict[str, Any]:
    """Return a document after a check of the routes that another publication does not have.

    The check of thousands of routes takes a good part of a second, in which a leader sends nothing.

    :raises voluptuous.MultipleInvalid: when a value is missing or wrong
    """
    if known is None or not _has_routes(document):
        return dict(SCHEMA(document))
    accepted = {id(route) for route in known.document["routes"]}
    routes = document["routes"]
    try:
        new = SCHEMA({**document, "routes": [each for each in routes if id(each) not in accepted]})
    except vol.MultipleInvalid:
        # The whole check names the place of the wrong value in the whole list.
        return dict(SCHEMA(document))
    rest = iter(new["routes"])
    new["routes"] = [each if id(each) in accepted else next(rest) for each in routes]
    return dict(new)
