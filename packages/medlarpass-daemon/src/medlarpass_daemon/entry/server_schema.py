"""Validation of announcements and heartbeats of backend servers."""

from __future__ import annotations

import ipaddress
import re

from typing import Any

import voluptuous as vol

from medlarpass.registry.exceptions import InvalidAnnouncementError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
STATES = ("starting", "ready", "draining", "leaving")
MAX_UINT32 = (1 << 32) - 1
MAX_UINT64 = (1 << 64) - 1
MAX_POOL_COUNT = 64


def _name(value: Any) -> str:
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise vol.Invalid("expected a name of lower-case letters, digits, . _ -")
    return value


def _text(value: Any) -> str:
    try:
        value.encode("utf-8")
    except (AttributeError, UnicodeEncodeError) as error:
        raise vol.Invalid("expected text that can be written as UTF-8") from error
    return str(value)


def _ip(value: Any) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError as error:
        raise vol.Invalid("expected an IP number") from error


def _integer(low: int, high: int) -> Any:
    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise vol.Invalid(f"expected an integer from {low} to {high}")
        return value

    return check


ANNOUNCEMENT = {
    vol.Required("identity"): _name,
    vol.Required("incarnation"): _integer(1, MAX_UINT64),
    vol.Required("ip"): _ip,
    vol.Required("port"): _integer(1, 65_535),
    vol.Required("domain"): _name,
    vol.Required("pools"): vol.All([_name], vol.Length(min=1, max=MAX_POOL_COUNT), vol.Unique()),
    vol.Required("slots"): _integer(1, 10_000),
    vol.Required("connections"): _integer(1, 100_000),
    vol.Required("checks_fences"): bool,
    vol.Required("state"): vol.In(STATES),
}

RELEASED = {
    vol.Required("pool"): _name,
    vol.Required("shard"): _integer(0, MAX_UINT32),
    vol.Optional("key", default=""): _text,
    vol.Required("fence"): _integer(0, MAX_UINT64),
}

ANNOUNCEMENT_SCHEMA = vol.Schema(ANNOUNCEMENT)

HEARTBEAT_SCHEMA = ANNOUNCEMENT_SCHEMA.extend(
    {
        vol.Required("session"): vol.All(_text, vol.Length(max=128)),
        vol.Optional("seen", default=0): _integer(0, MAX_UINT64),
        vol.Optional("released", default=list): vol.All([RELEASED], vol.Length(max=100_000)),
        vol.Optional("in_flight", default=0): _integer(0, MAX_UINT32),
    }
)


def parse_announcement(document: Any) -> control_pb2.ServerStatus:
    """Validate an announcement.

    :param document: parsed JSON
    :raises InvalidAnnouncementError: a field is invalid; the message names the field and what
        was expected
    """
    return _server(_validated(ANNOUNCEMENT_SCHEMA, document))


def parse_heartbeat(document: Any) -> domain_pb2.HeartbeatRequest:
    """Validate a heartbeat.

    It repeats the announcement, so that a new coordinator can register the server from it.

    :param document: parsed JSON
    :raises InvalidAnnouncementError: a field is invalid; the message names the field and what
        was expected
    """
    fields = _validated(HEARTBEAT_SCHEMA, document)
    server = _server(fields)
    server.in_flight = fields["in_flight"]
    return domain_pb2.HeartbeatRequest(
        identity=server.identity,
        incarnation=server.incarnation,
        session=fields["session"],
        state=server.state,
        seen=fields["seen"],
        released=[domain_pb2.ReleasedGrant(**item) for item in fields["released"]],
        in_flight=server.in_flight,
        server=server,
    )


def _server(fields: dict[str, Any]) -> control_pb2.ServerStatus:
    return control_pb2.ServerStatus(
        identity=fields["identity"],
        incarnation=fields["incarnation"],
        domain=fields["domain"],
        ip=fields["ip"],
        port=fields["port"],
        pools=fields["pools"],
        slots=fields["slots"],
        connections=fields["connections"],
        checks_fences=fields["checks_fences"],
        state=fields["state"],
    )


def _validated(schema: vol.Schema, document: Any) -> dict[str, Any]:
    try:
        result: dict[str, Any] = schema(document)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        key = ".".join(str(part) for part in first.path)
        raise InvalidAnnouncementError(f"{key or 'body'}: {first.msg}") from error
    return result
