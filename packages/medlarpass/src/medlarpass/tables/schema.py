"""Schemas of route and pool documents."""

from __future__ import annotations

import json
import re

from typing import Any

import voluptuous as vol

from medlarpass.tables.exceptions import InvalidDocumentError
from medlarpass.tables.request_class import RequestClass

#: Names are used in URLs, metrics and file names.
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
HOST_PATTERN = re.compile(r"\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?")
PATH_PATTERN = re.compile(r"(/([A-Za-z0-9._~-]+|\{[a-z_][a-z0-9_]*\}))+(/\*\*)?|/\*\*|/")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_SHARD_COUNT = 1 << 20
MAX_DOCUMENT_BYTES = 64 * 1024
#: Every replica parses documents; deep nesting could crash it with a RecursionError.
MAX_NESTING_LEVELS = 16


def _integer_in_range(low: int, high: int) -> Any:
    return vol.All(vol.Any(int, msg="expected an integer"), _not_bool, vol.Range(min=low, max=high))


def _not_bool(value: Any) -> Any:
    if isinstance(value, bool):
        raise vol.Invalid("expected an integer")
    return value


def _pattern_validator(pattern: re.Pattern[str], what: str) -> Any:
    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise vol.Invalid(f"expected {what}")
        return value

    return check


ROUTE_SCHEMA = vol.Schema(
    {
        vol.Optional("host", default="*"): _pattern_validator(HOST_PATTERN, "a host name or '*'"),
        vol.Required("path"): _pattern_validator(
            PATH_PATTERN, "a path such as /stock/{roll} or /art/**"
        ),
        vol.Required("methods"): vol.All([vol.In(METHODS)], vol.Length(min=1), vol.Unique()),
        vol.Required("class"): vol.In([request_class.value for request_class in RequestClass]),
        vol.Optional("key"): {
            vol.Required("from"): vol.In(["path", "header", "query"]),
            vol.Required("name"): vol.All(str, vol.Length(min=1, max=128)),
        },
        vol.Required("pool"): _pattern_validator(NAME_PATTERN, "the name of a pool"),
        vol.Optional("deadline_ms", default=5_000): _integer_in_range(1, MAX_DEADLINE_MS),
        vol.Optional("limits", default=dict): {
            vol.Optional("concurrency", default=256): _integer_in_range(1, 1_000_000),
            vol.Optional("queue", default=256): _integer_in_range(0, 1_000_000),
            vol.Optional("body_bytes", default=1 << 20): _integer_in_range(0, 1 << 40),
        },
    }
)

POOL_SCHEMA = vol.Schema(
    {
        vol.Optional("owned", default=False): bool,
        vol.Optional("shards", default=256): _integer_in_range(1, MAX_SHARD_COUNT),
        vol.Optional("delegation_term_ms", default=10_000): _integer_in_range(2_000, 3_600_000),
        vol.Optional("moves_per_minute", default=60): _integer_in_range(1, 100_000),
        vol.Optional("favours", default="availability"): vol.In(["balance", "availability"]),
    }
)

NAME_SCHEMA = vol.Schema(
    _pattern_validator(NAME_PATTERN, "a name of lower-case letters, digits, . _ -")
)


def validate_document(schema: vol.Schema, name: str, document: Any) -> dict[str, Any]:
    """Validate a document and fill in its defaults.

    :param schema: schema to check against
    :param name: name of the item, for the error message
    :param document: parsed JSON or YAML
    :raises InvalidDocumentError: naming the item, the key and what was expected
    """
    try:
        NAME_SCHEMA(name)
        if not isinstance(document, dict):
            raise vol.Invalid("expected a mapping")
        result: dict[str, Any] = schema(document)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        raise InvalidDocumentError(f"{name}: {_location_prefix(first)}{first.msg}") from error
    except vol.Invalid as error:
        raise InvalidDocumentError(f"{name}: {_location_prefix(error)}{error.msg}") from error
    return result


def parse_json(name: str, text: str) -> Any:
    """Parse the JSON text of a document.

    :raises InvalidDocumentError: when the text is too large or not JSON
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise InvalidDocumentError(f"{name}: document above {MAX_DOCUMENT_BYTES} bytes")
    if _max_bracket_depth(text) > MAX_NESTING_LEVELS:
        raise InvalidDocumentError(f"{name}: nested deeper than {MAX_NESTING_LEVELS} levels")
    try:
        document = json.loads(text)
        # JSON may contain a lone surrogate, which can't be encoded in a message or a log line.
        json.dumps(document, ensure_ascii=False).encode()
    except ValueError as error:
        raise InvalidDocumentError(f"{name}: not JSON of valid Unicode") from error
    return document


def _max_bracket_depth(text: str) -> int:
    """Return the maximum bracket depth; brackets inside strings count too."""
    depth = max_depth = 0
    for character in text:
        if character in "[{":
            depth += 1
            max_depth = max(max_depth, depth)
        elif character in "]}":
            depth -= 1
    return max_depth


def _location_prefix(error: vol.Invalid) -> str:
    path = ".".join(str(part) for part in error.path)
    return f"{path}: " if path else ""
