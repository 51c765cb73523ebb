"""A version of all routes and pools."""

from __future__ import annotations

import json

from typing import Any

import voluptuous as vol

from medlarpass.publication.caller_limits import CallerLimits
from medlarpass.publication.exceptions import InvalidPublicationError
from medlarpass.publication.known_routes import is_same_json
from medlarpass.publication.known_routes import reuse_known_routes
from medlarpass.publication.prefix_matcher import PrefixMatcher
from medlarpass.publication.published_pool import PublishedPool
from medlarpass.publication.published_route import PublishedRoute
from medlarpass.tables import RequestClass

#: A target latency that exceeds the timeout by this much is rejected as given in a wrong unit.
MAX_TARGET_OVER_TIMEOUT_SECONDS = 60.0


def _validate_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value != value:
        raise vol.Invalid("expected a number")
    return value


def _validate_integer(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise vol.Invalid("expected an integer")
    return value


def _validate_prefix(value: Any) -> str:
    if not isinstance(value, str) or not value.startswith("/") or not value.endswith("/"):
        raise vol.Invalid("expected a path that begins and ends with a slash")
    return value


NON_EMPTY_TEXT = vol.All(str, vol.Length(min=1))
WEIGHT = vol.All(_validate_number, vol.Range(min=0))
POSITIVE_NUMBER = vol.All(_validate_number, vol.Range(min=0, min_included=False))

ROUTE_SCHEMA = {
    vol.Required("name"): NON_EMPTY_TEXT,
    vol.Required("host"): NON_EMPTY_TEXT,
    vol.Required("prefix"): _validate_prefix,
    vol.Required("class"): vol.In([request_class.value for request_class in RequestClass]),
    vol.Required("timeout"): POSITIVE_NUMBER,
    vol.Required("target"): POSITIVE_NUMBER,
    vol.Required("priority"): _validate_integer,
    vol.Required("attempts"): vol.All(_validate_integer, vol.Range(min=1)),
    vol.Required("shares"): vol.All(
        [{vol.Required("pool"): NON_EMPTY_TEXT, vol.Required("weight"): WEIGHT}], vol.Length(min=1)
    ),
}
POOL_SCHEMA = {
    vol.Required("name"): NON_EMPTY_TEXT,
    vol.Required("owned"): bool,
    vol.Required("connections"): vol.All(_validate_integer, vol.Range(min=1)),
    vol.Optional("warmup_seconds"): POSITIVE_NUMBER,
    vol.Optional("warmup_rate"): POSITIVE_NUMBER,
}
SCHEMA = vol.Schema(
    {
        vol.Required("version"): vol.All(_validate_integer, vol.Range(min=0)),
        vol.Required("key_header"): NON_EMPTY_TEXT,
        vol.Required("routes"): [ROUTE_SCHEMA],
        vol.Required("pools"): [POOL_SCHEMA],
        vol.Required("limits"): {
            vol.Optional("header_bytes"): POSITIVE_NUMBER,
            vol.Optional("body_bytes"): POSITIVE_NUMBER,
            vol.Optional("header_seconds"): POSITIVE_NUMBER,
            vol.Optional("idle_seconds"): POSITIVE_NUMBER,
        },
    }
)


class Publication:
    """Routes, pools and limits with a common version.

    :param document: document that :meth:`from_document` has validated
    :param known: an earlier publication, whose route objects are reused if the documents share
        them; this makes a small change to many routes cheap
    :raises InvalidPublicationError: if parts of it contradict each other
    """

    __slots__ = ("document", "limits", "matcher", "pools", "routes", "version")

    def __init__(self, document: dict[str, Any], known: Publication | None = None) -> None:
        self.document = document
        self.version: int = document["version"]
        self.limits = CallerLimits(document["limits"])
        self.pools = {item["name"]: PublishedPool(item["name"], item) for item in document["pools"]}
        self.routes = self._build_routes(known)
        self.matcher = PrefixMatcher(self.routes)
        self._check_consistency()

    @classmethod
    def from_document(cls, document: Any, known: Publication | None = None) -> Publication:
        """Validate a document and build the publication.

        :param document: parsed JSON
        :param known: an earlier publication; unchanged routes are not validated again
        :raises InvalidPublicationError: with the key and the expected value
        """
        shared = document
        if known is not None:
            shared = reuse_known_routes(document, known.document, is_same_json)
        try:
            return cls(_validate(shared, known), known)
        except vol.MultipleInvalid as error:
            first = error.errors[0]
            key = ".".join(str(part) for part in first.path)
            raise InvalidPublicationError(f"{key}: {first.msg}") from error

    @classmethod
    def from_json(cls, text: bytes, known: Publication | None = None) -> Publication:
        """Build a publication from the text that :meth:`to_json` returned.

        :param known: an earlier publication, whose unchanged routes are reused
        """
        document = json.loads(text)
        if known is not None:
            document = reuse_known_routes(document, known.document)
        return cls(document, known)

    def to_json(self) -> bytes:
        """Return the document as JSON text."""
        return json.dumps(self.document, separators=(",", ":")).encode()

    def _build_routes(self, known: Publication | None) -> list[PublishedRoute]:
        key_header = self.document["key_header"]
        built: dict[int, PublishedRoute] = {}
        if known is not None and known.has_same_route_settings(self):
            pairs = zip(known.document["routes"], known.routes, strict=True)
            built = {id(item): route for item, route in pairs}
        return [
            built.get(id(item)) or PublishedRoute(item["name"], item, self.limits, key_header)
            for item in self.document["routes"]
        ]

    def has_same_route_settings(self, other: Publication) -> bool:
        """Return whether equal route documents result in equal routes in both publications."""
        names = ("key_header", "limits")
        return all(self.document[name] == other.document[name] for name in names)

    def _check_consistency(self) -> None:
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
            if route.target_latency >= route.deadline + MAX_TARGET_OVER_TIMEOUT_SECONDS:
                raise InvalidPublicationError(f"{route.name}: target far above the timeout")


def _has_routes(document: Any) -> bool:
    return isinstance(document, dict) and isinstance(document.get("routes"), list)


def _validate(document: Any, known: Publication | None) -> dict[str, Any]:
    """Validate a document, except for the routes that another publication already contains.

    It takes a good part of a second to validate thousands of routes, and a leader sends nothing
    during that time.

    :raises voluptuous.MultipleInvalid: when a value is missing or wrong
    """
    if known is None or not _has_routes(document):
        return dict(SCHEMA(document))
    accepted = {id(route) for route in known.document["routes"]}
    routes = document["routes"]
    try:
        new = SCHEMA(
            {**document, "routes": [route for route in routes if id(route) not in accepted]}
        )
    except vol.MultipleInvalid:
        # Validates the whole document, so that the error has the index in the complete list.
        return dict(SCHEMA(document))
    rest = iter(new["routes"])
    new["routes"] = [route if id(route) in accepted else next(rest) for route in routes]
    return dict(new)
