"""Reading and checking the bodies of calls."""

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
#: A change is one log record, which is written and sent as a whole.
MAX_ITEMS = 1_000
#: Levels of lists and objects in a body; a change of documents needs six.
MAX_NESTING = 16
MAX_VERSION = (1 << 63) - 1
CHANGE_ID_HEADER = "Idempotency-Key"
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
SERVER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
REPLICA_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
ADDRESS_PATTERN = re.compile(r"([0-9.]{7,15}|\[[0-9a-fA-F:.]{2,45}\]):[0-9]{1,5}")


def _version(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_VERSION:
        raise vol.Invalid("expected a version, an integer of at least 0")
    return value


def matching(pattern: re.Pattern[str], what: str) -> Any:
    """Return a validator for a text of a pattern.

    :param pattern: pattern of the whole text
    :param what: what the error message says was expected
    """

    def check(value: Any) -> str:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            raise vol.Invalid(f"expected {what}")
        return value

    return check


item_name = matching(NAME_PATTERN, "a name of lower-case letters, digits, . _ -")
server_name = matching(SERVER_PATTERN, "the identity of a server")
replica_identity = matching(REPLICA_PATTERN, "the identity of a replica")
change_id = matching(CHANGE_ID_PATTERN, "a change id of letters, digits, . _ : -")

CHANGE_ID: dict[Any, Any] = {vol.Optional("change_id"): change_id}
PUT_SCHEMA = vol.Schema(
    {**CHANGE_ID, vol.Required("expected_version"): _version, vol.Required("document"): dict}
)
DELETE_SCHEMA = vol.Schema({**CHANGE_ID, vol.Required("expected_version"): _version})
CHANGES_SCHEMA = vol.Schema(
    {
        **CHANGE_ID,
        vol.Required("items"): vol.All(
            [
                {
                    vol.Required("kind"): vol.In(["route", "pool"]),
                    vol.Required("name"): item_name,
                    vol.Required("expected_version"): _version,
                    vol.Exclusive("document", "action"): dict,
                    vol.Exclusive("delete", "action"): vol.Literal(True),
                }
            ],
            vol.Length(min=1, max=MAX_ITEMS),
        ),
    }
)
EMPTY_SCHEMA = vol.Schema(CHANGE_ID)
REPLICA_SCHEMA = vol.Schema(
    {
        **CHANGE_ID,
        vol.Required("name"): item_name,
        vol.Required("domain"): item_name,
        vol.Required("address"): matching(ADDRESS_PATTERN, "IP:PORT"),
    }
)


async def read_body(request: web.Request, schema: vol.Schema) -> dict[str, Any]:
    """Read and check the JSON body of a call.

    :param request: call of an operator
    :param schema: schema of the body
    :returns: the body, always with ``change_id``
    :raises InvalidCallError: naming the key and what was expected
    :raises CallTooLargeError: when the body is above ``MAX_BODY_BYTES``
    """
    try:
        content = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise CallTooLargeError(f"expected a body of at most {MAX_BODY_BYTES} bytes") from error
    document = parsed_json(content) if content else {}
    _check_values(document)
    body = checked(schema, document)
    body["change_id"] = _change_id(request, body)
    return body


def parsed_json(content: bytes) -> Any:
    """Parse JSON strictly: repeated keys and NaN are refused.

    :raises InvalidCallError: when the content is not such JSON
    """
    try:
        return json.loads(content, object_pairs_hook=_unique, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidCallError(f"expected JSON ({type(error).__name__})") from error


def checked(schema: vol.Schema, document: Any) -> dict[str, Any]:
    """Check a parsed body.

    :raises InvalidCallError: naming the key and what was expected
    """
    if not isinstance(document, dict):
        raise InvalidCallError("expected a JSON object")
    try:
        result: dict[str, Any] = schema(document)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        where = ".".join(str(part) for part in first.path)
        raise InvalidCallError(f"{where}: {first.msg}" if where else str(first.msg)) from error
    return result


def checked_text(validator: Any, key: str, value: str) -> str:
    """Check a text of the path.

    :param validator: validator of the text
    :param key: what the error message names
    :raises InvalidCallError: when the text has another form
    """
    try:
        return str(validator(value))
    except vol.Invalid as error:
        raise InvalidCallError(f"{key}: {error.msg}") from error


def document_text(name: str, document: Mapping[str, Any]) -> str:
    """Return a document as JSON text.

    :raises CallTooLargeError: when it is above the bound of a document
    """
    text = json.dumps(document, sort_keys=True)
    if len(text) > MAX_DOCUMENT_BYTES:
        raise CallTooLargeError(
            f"{name}: expected a document of at most {MAX_DOCUMENT_BYTES} bytes"
        )
    return text


def _change_id(request: web.Request, body: Mapping[str, Any]) -> str:
    header = request.headers.get(CHANGE_ID_HEADER)
    field = body.get("change_id")
    if header is not None and field is not None and header != field:
        raise InvalidCallError(f"change_id: expected the same as {CHANGE_ID_HEADER}")
    value = field if header is None else header
    if value is None:
        raise InvalidCallError(f"change_id: expected it here or in {CHANGE_ID_HEADER}")
    return checked_text(change_id, "change_id", value)


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result = dict(pairs)
    if len(result) != len(pairs):
        raise ValueError("repeated key")
    return result


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is not JSON")


def _check_values(body: Any) -> None:
    """Refuse texts that can't be stored and deep nesting, in keys and values.

    A lone surrogate can't be stored in a protobuf message, and parsing deep nesting can exceed the
    recursion limit. Either would make a replica fail when it applies the command.
    """
    waiting = [(body, 0)]
    while waiting:
        value, depth = waiting.pop()
        if depth > MAX_NESTING:
            raise InvalidCallError(f"expected at most {MAX_NESTING} levels of nesting")
        if isinstance(value, dict):
            waiting.extend((part, depth + 1) for part in (*value.keys(), *value.values()))
        elif isinstance(value, list):
            waiting.extend((part, depth + 1) for part in value)
        elif isinstance(value, str) and any(
            unicodedata.category(letter) in ("Cc", "Cs") for letter in value
        ):
            raise InvalidCallError("expected texts without control characters")
