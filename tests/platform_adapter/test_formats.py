from __future__ import annotations

import json

from typing import Any

import pytest

from medlarpass.publication import InvalidPublicationError
from medlarpass.publication import Publication
from medlarpass.tables import RequestClass
from medlarpass_daemon.control.fleet.exceptions import InvalidNoticeError
from medlarpass_platform import formats

HEARTBEAT: dict[str, Any] = {
    "upstream": "rolls",
    "address": "10.128.0.9:8080",
    "zone": "north",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "slow_start_s_time": 1.5,
    "sequence": 4,
    "born": 1_780_500_289_168,
}
CONFIGURATION: dict[str, Any] = {
    "version": "r7",
    "routes": [
        {
            "name": "split",
            "host": "Rolls.example",
            "path_prefix": "/rolls/",
            "type": "safe",
            "timeout_s": 1,
            "target_latency_s": 0.4,
            "priority": 2,
            "traffic_split": [
                {"upstream": "rolls", "weight": 90},
                {"upstream": "orders", "weight": 10},
            ],
            "max_attempts": 2,
        },
        {
            "name": "orders",
            "host": "rolls.example",
            "path_prefix": "/orders/",
            "type": "unsafe",
            "timeout_s": 1.2,
            "target_latency_s": 0.5,
            "priority": 1,
            "upstream": "orders",
            "max_attempts": 2,
        },
    ],
    "upstreams": [
        {"name": "rolls", "max_connections": 130, "sharded": True},
        {"name": "orders", "max_connections": 130},
    ],
    "limits": {"max_header_bytes": 16384, "idle_timeout_s": 15},
}


def test_a_heartbeat_is_read() -> None:
    """Guards against fields of a heartbeat that are mixed up."""
    heartbeat = formats.parse_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (heartbeat.identity, heartbeat.incarnation, heartbeat.sequence) == (
        "i-1",
        1_780_500_289_168,
        4,
    )
    assert (heartbeat.pool, heartbeat.ip, heartbeat.port) == ("rolls", "10.128.0.9", 8080)
    assert (heartbeat.domain, heartbeat.slots, heartbeat.warmup_seconds) == ("north", 4, 1.5)
    assert not heartbeat.is_leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"address": None},
        {"address": "nowhere"},
        {"slots": "4"},
        {"slots": 0},
        {"state": "odd"},
        {"born": "yesterday"},
        {"born": True},
        {"sequence": -1},
        {"upstream": 7},
        {"slow_start_s_time": "soon"},
        {"address": "10.128.0.9:0"},
        {"address": "10.128.0.9:65536"},
        {"address": "10.128.0.9:80_80"},
        {"address": "10.128.0.9:\u0668\u0660"},
        {"address": "worker-7:8080"},
        {"address": "300.1.1.1:8080"},
        {"born": 1 << 64},
        {"sequence": 10**400},
        {"slots": 1 << 63},
        {"slow_start_s_time": 10**400},
        {"slow_start_s_time": float("inf")},
        {"slow_start_s_time": float("nan")},
        {"slow_start_s_time": -1},
        {"version": 7},
        {"version": ""},
        {"state": ["ready"]},
        {"zone": None},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(changes: dict[str, Any]) -> None:
    """Guards against an invalid heartbeat that retires or replaces a server."""
    with pytest.raises(InvalidNoticeError):
        formats.parse_heartbeat("i-1", json.dumps({**HEARTBEAT, **changes}).encode())


@pytest.mark.parametrize("name", sorted(HEARTBEAT))
def test_a_heartbeat_without_a_field_is_refused(name: str) -> None:
    """Guards against a server that is replaced by a heartbeat of another writer (review/7)."""
    fields = {key: value for key, value in HEARTBEAT.items() if key != name}
    with pytest.raises(InvalidNoticeError):
        formats.parse_heartbeat("i-1", json.dumps(fields).encode())


NESTED = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
MALFORMED = [b"", b"[]", b"null", b"\xff\xfe", b'{"upstream":', b"[" * 100_000, NESTED]


@pytest.mark.parametrize("body", MALFORMED, ids=lambda body: repr(body[:12]))
def test_a_malformed_heartbeat_is_refused(body: bytes) -> None:
    """Guards against an unexpected exception for a malformed body."""
    with pytest.raises(InvalidNoticeError):
        formats.parse_heartbeat("i-1", body)


@pytest.mark.parametrize("text", [b"gud\xed\xa0\x80ng", b"gud\\ud800ng", b"gud\xffng"])
@pytest.mark.parametrize("field", ["upstream", "zone", "address"])
def test_text_that_is_not_utf8_is_refused(text: bytes, field: str) -> None:
    """Guards against text that is confirmed and that no message to entries can hold."""
    body = json.dumps({**HEARTBEAT, field: "odd"}).encode().replace(b"odd", text + b":80")
    with pytest.raises(InvalidNoticeError):
        formats.parse_heartbeat("i-1", body)
    source = json.dumps(CONFIGURATION).encode().replace(b"/rolls/", b"/" + text + b"/")
    with pytest.raises(InvalidPublicationError):
        formats.parse_publication(source)


def test_escaped_text_is_read() -> None:
    """Guards against refusing a heartbeat with valid escapes."""
    body = json.dumps({**HEARTBEAT, "zone": "k\u00fc\U0001f600"}).encode()
    assert b"\\u" in body
    assert formats.parse_heartbeat("i-1", body).domain == "k\u00fc\U0001f600"


def test_a_configuration_becomes_a_publication() -> None:
    """Guards against a class, time or weight that is translated incorrectly."""
    publication = Publication.from_document(
        formats.parse_publication(json.dumps(CONFIGURATION).encode())
    )
    split, orders = publication.routes
    assert publication.version == 7
    assert (split.host, split.prefix, split.deadline, split.target_latency) == (
        "rolls.example",
        "/rolls/",
        1,
        0.4,
    )
    assert [(share.pool, share.weight) for share in split.shares] == [("rolls", 90), ("orders", 10)]
    assert orders.request_class.value == "order"
    assert publication.pools["rolls"].owned
    assert not publication.pools["orders"].owned
    assert publication.limits.idle_seconds == 15


@pytest.mark.parametrize(
    "changes",
    [
        {"version": "7"},
        {"version": "r"},
        {"version": 7},
        {"routes": None},
        {"routes": [{}]},
        {"routes": ["..."]},
        {"upstreams": {}},
        {"limits": 4},
    ],
)
def test_a_configuration_that_cannot_be_read_is_refused(changes: dict[str, Any]) -> None:
    """Guards against confirming a configuration of which a part is missing or invalid."""
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(
            formats.parse_publication(json.dumps({**CONFIGURATION, **changes}).encode())
        )


@pytest.mark.parametrize("body", [*MALFORMED, b"1e999"], ids=lambda body: repr(body[:12]))
def test_a_malformed_configuration_is_refused(body: bytes) -> None:
    """Guards against an unexpected exception, which reports a fault of control to the operator."""
    with pytest.raises(InvalidPublicationError):
        formats.parse_publication(body)


@pytest.mark.parametrize("number", [b"Infinity", b"-Infinity", b"NaN", b"1e999"])
def test_a_number_that_is_not_finite_is_refused(number: bytes) -> None:
    """Guards against confirming a weight or time that can't be stored as JSON."""
    source = json.dumps(CONFIGURATION).encode().replace(b'"weight": 90', b'"weight": ' + number)
    assert number in source
    with pytest.raises(InvalidPublicationError):
        formats.parse_publication(source)


@pytest.mark.parametrize(
    "body", [*MALFORMED[1:], b"{}", b'{"born":"1"}'], ids=lambda body: repr(body[:12])
)
def test_a_malformed_call_of_a_leaving_server_is_refused(body: bytes) -> None:
    """Guards against a server that is retired by a call of another writer.

    A malformed body counted as a call without one, which is about the newest incarnation.
    """
    with pytest.raises(InvalidNoticeError):
        formats.parse_incarnation(body)


def test_a_call_of_a_leaving_server_may_have_no_body() -> None:
    """Guards against a leaving server whose call is refused."""
    assert formats.parse_incarnation(b"") is None
    assert formats.parse_incarnation(b'{"born": 17}') == 17


def test_an_ipv6_address_is_read_without_brackets() -> None:
    """Guards against an address to which no connection can be opened."""
    body = json.dumps({**HEARTBEAT, "address": "[::1]:8080"}).encode()
    assert formats.parse_heartbeat("i-1", body).ip == "::1"


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (None, None)),
        ({"slow_start_s": 30, "warmup_per_s": 2.5}, (30, 2.5)),
        ({"slow_start_s": 0, "warmup_per_s": None}, (None, None)),
    ],
    ids=["older", "both", "no limit"],
)
def test_the_warm_up_of_a_pool_is_read(
    fields: dict[str, Any], expected: tuple[float | None, float | None]
) -> None:
    """Guards against a cold server that gets the load of a warm one."""
    first, second = CONFIGURATION["upstreams"]
    configuration = {**CONFIGURATION, "upstreams": [{**first, **fields}, second]}
    document = formats.parse_publication(json.dumps(configuration).encode())
    pool = Publication.from_json(Publication.from_document(document).to_json()).pools["rolls"]
    assert (pool.warmup_seconds, pool.warmup_rate) == expected


@pytest.mark.parametrize("value", [-1, "2", True, [2], {}])
@pytest.mark.parametrize("name", ["slow_start_s", "warmup_per_s"])
def test_an_invalid_warm_up_is_refused(name: str, value: Any) -> None:
    """Guards against a limit that fails only once a server is cold."""
    first, second = CONFIGURATION["upstreams"]
    configuration = {**CONFIGURATION, "upstreams": [{**first, name: value}, second]}
    with pytest.raises(InvalidPublicationError):
        Publication.from_document(formats.parse_publication(json.dumps(configuration).encode()))


def test_a_configuration_that_is_cut_short_is_refused() -> None:
    """Guards against applying a truncated configuration."""
    body = json.dumps(CONFIGURATION).encode()
    for end in range(0, len(body) - 1, 40):
        with pytest.raises(InvalidPublicationError):
            formats.parse_publication(body[:end])


@pytest.mark.parametrize(
    ("kind", "request_class"),
    [
        ("safe", RequestClass.ENQUIRY),
        ("unsafe", RequestClass.ORDER),
        ("download", RequestClass.DOWNLOAD),
        ("upload", RequestClass.UPLOAD),
    ],
)
def test_each_kind_of_request_has_its_class(kind: str, request_class: RequestClass) -> None:
    """Guards against refusing a configuration with a documented kind of request."""
    route = {**CONFIGURATION["routes"][1], "type": kind}
    body = json.dumps({**CONFIGURATION, "routes": [route]}).encode()
    publication = Publication.from_document(formats.parse_publication(body))
    assert publication.routes[0].request_class is request_class


def test_unknown_kind_of_request_is_refused() -> None:
    """Guards against a route whose retry rules are not defined."""
    route = {**CONFIGURATION["routes"][1], "type": "stream"}
    with pytest.raises(InvalidPublicationError):
        formats.parse_publication(json.dumps({**CONFIGURATION, "routes": [route]}).encode())
