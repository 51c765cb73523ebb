"""HTTP headers between callers, this entry and servers."""

from __future__ import annotations

import random
import re

from functools import lru_cache
from typing import TYPE_CHECKING

from multidict import CIMultiDict

from medlarpass_daemon.entry.callers.exceptions import InvalidHeaderError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from multidict import CIMultiDictProxy
    from multidict import MultiMapping

REQUEST_ID = "Medlarpass-Request-Id"
DEADLINE = "Medlarpass-Deadline-Ms"
OUTCOME = "Medlarpass-Outcome"
REFUSAL = "Medlarpass-Refusal"
SHARD = "Medlarpass-Shard"
FENCE = "Medlarpass-Fence"
LEAVING = "Medlarpass-Leaving"
NOT_BEFORE = "Medlarpass-Not-Before"
REPLAYED = "Medlarpass-Replayed"
IDEMPOTENCY_KEY = "Idempotency-Key"

#: Seeded by the operating system. Request ids must be unique, but not secret; a system call per id
#: would be slower.
REQUEST_ID_GENERATOR = random.Random()

CONTROL_PREFIX = "medlarpass-"
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[ -~]{1,255}")
#: The pattern also limits the value, so that it stays in the range of clock arithmetic.
DEADLINE_PATTERN = re.compile(r"[0-9]{1,10}", re.ASCII)
LENGTH_PATTERN = re.compile(r"[0-9]{1,18}", re.ASCII)

#: Hop-by-hop headers of RFC 9110, section 7.6.1, and older names that are still in use.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
#: Headers for framing and routing. They are kept even if ``Connection`` lists them, because their
#: removal would change the meaning of the message.
PROTECTED_HEADERS = frozenset({"content-length", "host", "idempotency-key", "range"})


def request_id_of(headers: MultiMapping[str]) -> str:
    """Return the caller's request id, or a new one if it is missing or invalid."""
    given = headers.get(REQUEST_ID)
    if given is not None and REQUEST_ID_PATTERN.fullmatch(given):
        return given
    return f"{REQUEST_ID_GENERATOR.getrandbits(128):032x}"


def check_headers(headers: CIMultiDictProxy[str], version: tuple[int, int]) -> None:
    """Check the headers that determine framing and routing.

    :param version: HTTP version of the request
    :raises InvalidHeaderError: naming the header
    """
    if "Content-Length" in headers or "Transfer-Encoding" in headers:
        _check_framing(headers)
    hosts = headers.getall("Host", ())
    if len(hosts) > 1 or (not hosts and version >= (1, 1)):
        raise InvalidHeaderError("Host: expected once")
    expectation = headers.get("Expect")
    if expectation is not None and expectation.lower() != "100-continue":
        raise InvalidHeaderError("Expect: expected 100-continue")


def _check_framing(headers: CIMultiDictProxy[str]) -> None:
    lengths = headers.getall("Content-Length", ())
    codings = headers.getall("Transfer-Encoding", ())
    if len(lengths) > 1 or any(not LENGTH_PATTERN.fullmatch(length) for length in lengths):
        raise InvalidHeaderError("Content-Length: expected one number")
    if codings and lengths:
        raise InvalidHeaderError("Transfer-Encoding: not allowed together with Content-Length")
    if len(codings) > 1 or any(coding.strip().lower() != "chunked" for coding in codings):
        raise InvalidHeaderError("Transfer-Encoding: expected chunked only")


def deadline_of(headers: CIMultiDictProxy[str]) -> float | None:
    """Return the caller's own deadline in seconds, if it gave one.

    :raises InvalidHeaderError: when it is not a number of milliseconds
    """
    given = headers.getall(DEADLINE, None)
    if given is None:
        return None
    if len(given) > 1 or not DEADLINE_PATTERN.fullmatch(given[0]):
        raise InvalidHeaderError(f"{DEADLINE}: expected one number of milliseconds")
    return int(given[0]) / 1000


def idempotency_key_of(headers: CIMultiDictProxy[str]) -> str | None:
    """Return the idempotency key, if there is one.

    :raises InvalidHeaderError: when it is empty, too long, not printable or given twice
    """
    given = headers.getall(IDEMPOTENCY_KEY, None)
    if given is None:
        return None
    if len(given) > 1 or not IDEMPOTENCY_KEY_PATTERN.fullmatch(given[0]):
        raise InvalidHeaderError(f"{IDEMPOTENCY_KEY}: expected up to 255 printable characters")
    return given[0]


def request_headers(
    headers: CIMultiDictProxy[str], request_id: str, caller: str, scheme: str
) -> CIMultiDict[str]:
    """Return the headers of a request to a server.

    :param caller: IP number of the caller
    :param scheme: scheme of the caller's request
    """
    passed = end_to_end(headers)
    if "Content-Length" in passed:
        # The length is set again from the body that is sent.
        del passed["Content-Length"]
    node = f'"[{caller}]"' if ":" in caller else caller
    _append_value(passed, "X-Forwarded-For", caller)
    _append_value(passed, "Forwarded", f"for={node};proto={scheme}")
    passed[REQUEST_ID] = request_id
    return passed


def response_headers(headers: CIMultiDictProxy[str], request_id: str) -> CIMultiDict[str]:
    """Return the headers of a response to a caller."""
    passed = end_to_end(headers)
    passed[REQUEST_ID] = request_id
    return passed


def end_to_end(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return the headers without hop-by-hop headers and control headers of medlarpass."""
    removed: frozenset[str] = HOP_BY_HOP
    if "Connection" in headers:
        removed = HOP_BY_HOP | connection_options(headers.getall("Connection"))
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if not _is_control(name) and name.lower() not in removed:
            passed.add(name, value)
    return passed


@lru_cache(maxsize=1024)
def _is_control(name: str) -> bool:
    return name.lower().startswith(CONTROL_PREFIX)


def connection_options(values: Iterable[str]) -> frozenset[str]:
    """Return the names listed in ``Connection`` headers, without the protected ones."""
    names = {name.strip().lower() for value in values for name in value.split(",")}
    return frozenset(names - PROTECTED_HEADERS)


def _append_value(headers: CIMultiDict[str], name: str, value: str) -> None:
    if name in headers:
        value = ", ".join([*headers.popall(name), value])
    headers[name] = value
