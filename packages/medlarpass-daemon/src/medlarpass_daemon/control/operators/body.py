"""Parsing and validation of request bodies."""

from __future__ import annotations

import json
import re
import unicodedata

from typing import TYPE_CHECKING
from typing import Any

import voluptuous as vol

from aiohttp import web

from medlarpass.tables.schema import MAX_DOCUMENT_BYTES
from medlarpass.tables.schema import NAME_PATTERN
from medlarpass_daemon.control.operators.exceptions import CallTooLargeError
from medlarpass_daemon.control.operators.exceptions import InvalidCallError

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_BODY_BYTES = 1 << 20
#: A change is a single log record, which is written and sent in one piece.
MAX_ITEM_COUNT = 1_000
#: Nesting levels of lists and objects in a body; a change with documents needs six.
MAX_NESTING_LEVELS = 16
MAX_VERSION = (1 << 63) - 1
CHANGE_ID_HEADER = "Idempotency-Key"
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
SERVER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
REPLICA_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}|\[[0-9a-fA-F:.]{2,45}\]):[0-9]{1,5}")


def _validate_version(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_VERSION:
        raise vol.Invalid("expected a version, a non-negative integer below 2**63")
    return value


def pattern_validator(pattern: re.Pattern[str], what: str) -> Any:
    """Return a validator for strings that match a pattern.

    :param pattern: pattern that the whole string must match
    :param what: description of the expected value for the error message
    """

    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise vol.Invalid(f"expected {what}")
        return value

    return check


validate_item_name = pattern_validator(NAME_PATTERN, "a name of lower-case letters, digits, . _ -")
validate_server_identity = pattern_validator(SERVER_PATTERN, "the identity of a server")
validate_domain = pattern_validator(SERVER_PATTERN, "the name of a failure domain")
validate_replica_identity = pattern_validator(REPLICA_PATTERN, "the identity of a replica")
validate_change_id = pattern_validator(CHANGE_ID_PATTERN, "a change id of letters, digits, . _ : -")

CHANGE_ID_KEY: dict[Any, Any] = {vol.Optional("change_id"): validate_change_id}
PUT_SCHEMA = vol.Schema(
    {
        **CHANGE_ID_KEY,
        vol.Required("expected_version"): _validate_version,
        vol.Required("document"): dict,
    }
)
DELETE_SCHEMA = vol.Schema({**CHANGE_ID_KEY, vol.Required("expected_version"): _validate_version})
CHANGES_SCHEMA = vol.Schema(
    {
        **CHANGE_ID_KEY,
        vol.Required("items"): vol.All(
            [
                {
                    vol.Required("kind"): vol.In(["route", "pool"]),
                    vol.Required("name"): validate_item_name,
                    vol.Required("expected_version"): _validate_version,
                    vol.Exclusive("document", "action"): dict,
                    vol.Exclusive("delete", "action"): vol.Literal(True),
                }
            ],
            vol.Length(min=1, max=MAX_ITEM_COUNT),
        ),
    }
)
EMPTY_SCHEMA = vol.Schema(CHANGE_ID_KEY)
REPLICA_SCHEMA = vol.Schema(
    {
        **CHANGE_ID_KEY,
        vol.Required("name"): validate_item_name,
        vol.Required("domain"): validate_item_name,
        vol.Required("address"): pattern_validator(ADDRESS_PATTERN, "IP:PORT"),
    }
)


async def read_body(request: web.Request, schema: vol.Schema) -> dict[str, Any]:
    """Read, parse and validate the JSON body of a request.

    :param request: request of an operator
    :param schema: schema of the body
    :returns: the validated body, with ``change_id`` set from the body or the header
    :raises InvalidCallError: naming the key and what was expected
    :raises CallTooLargeError: when the body exceeds ``MAX_BODY_BYTES``
    """
    try:
        content = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise CallTooLargeError(f"expected a body of at most {MAX_BODY_BYTES} bytes") from error
    document = parse_json(content) if content else {}
    check_values(document)
    body = validate_body(schema, document)
    body["change_id"] = _change_id(request, body)
    return body


def parse_json(content: bytes) -> Any:
    """Parse JSON strictly, without repeated keys, NaN or infinity.

    :raises InvalidCallError: when the content is not valid JSON in this sense
    """
    try:
        return json.loads(
            content, object_pairs_hook=_reject_repeated_keys, parse_constant=_reject_constant
        )
    except (ValueError, RecursionError) as error:
        raise InvalidCallError(f"expected JSON ({type(error).__name__})") from error


def validate_body(schema: vol.Schema, document: Any) -> dict[str, Any]:
    """Validate a parsed body.

    :raises InvalidCallError: naming the key and what was expected
    """
    if not isinstance(document, dict):
        raise InvalidCallError("expected a JSON object")
    try:
        result: dict[str, Any] = schema(document)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        location = ".".join(str(part) for part in first.path)
        raise InvalidCallError(
            f"{location}: {first.msg}" if location else str(first.msg)
        ) from error
    return result


def validate_text(validator: Any, key: str, value: str) -> str:
    """Validate a string from the path or a header.

    :param validator: validator for the string
    :param key: name of the value for the error message
    :raises InvalidCallError: when the string is not valid
    """
    try:
        return str(validator(value))
    except vol.Invalid as error:
        raise InvalidCallError(f"{key}: {error.msg}") from error


def serialize_document(name: str, document: Mapping[str, Any]) -> str:
    """Return a document as JSON text.

    :raises CallTooLargeError: when the text exceeds ``MAX_DOCUMENT_BYTES``
    """
    text = json.dumps(document, sort_keys=True)
    if len(text) > MAX_DOCUMENT_BYTES:
        raise CallTooLargeError(
            f"{name}: expected a document of at most {MAX_DOCUMENT_BYTES} bytes"
        )
    return text


def _change_id(request: web.Request, body: Mapping[str, Any]) -> str:
    header = request.headers.get(CHANGE_ID_HEADER)
    body_value = body.get("change_id")
    if header is not None and body_value is not None and header != body_value:
        raise InvalidCallError(f"change_id: differs from the header {CHANGE_ID_HEADER}")
    value = body_value if header is None else header
    if value is None:
        raise InvalidCallError(
            f"change_id: expected in the body or in the header {CHANGE_ID_HEADER}"
        )
    return validate_text(validate_change_id, "change_id", value)


def _reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("repeated key")
    return result


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def check_values(body: Any) -> None:
    """Reject deep nesting, and control characters and surrogates in keys and values.

    A protobuf message can't store a lone surrogate, and parsing a deeply nested document can exceed
    the recursion limit. Either would make a replica fail when it applies the command.
    """
    pending = [(body, 0)]
    while pending:
        value, depth = pending.pop()
        if depth > MAX_NESTING_LEVELS:
            raise InvalidCallError(f"expected at most {MAX_NESTING_LEVELS} levels of nesting")
        if isinstance(value, dict):
            pending.extend((child, depth + 1) for child in (*value.keys(), *value.values()))
        elif isinstance(value, list):
            pending.extend((child, depth + 1) for child in value)
        elif isinstance(value, str) and any(
            unicodedata.category(character) in ("Cc", "Cs") for character in value
        ):
            raise InvalidCallError("expected strings without control characters or surrogates")
