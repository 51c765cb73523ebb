"""Schema of the settings file."""

from __future__ import annotations

import ipaddress
import re

from typing import Any

import voluptuous as vol

from medlarpass_daemon.settings.units import duration
from medlarpass_daemon.settings.units import size

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
MAX_PORT = 65_535
PORT_OFFSET_PATTERN = re.compile(r"([0-9]{1,5})\+([0-9]{1,5})")
MODULE_PATTERN = re.compile(r"[a-z_][a-z0-9_]*(\.[a-z_][a-z0-9_]*)*")


def name(value: Any) -> str:
    """Check the name of a VM, domain or replica."""
    if not isinstance(value, str) or not NAME_PATTERN.fullmatch(value):
        raise vol.Invalid("expected a name of lower-case letters, digits, . _ -")
    return value


def ip(value: Any) -> str:
    """Check an IP address; host names are rejected because processes connect by IP address."""
    try:
        if not isinstance(value, str):
            raise ValueError("not a string")
        return str(ipaddress.ip_address(value))
    except ValueError as error:
        raise vol.Invalid("expected an IP number") from error


def count(low: int, high: int) -> Any:
    """Return a validator for an integer; it rejects YAML booleans."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int) or not low <= value <= high:
            raise vol.Invalid(f"expected an integer from {low} to {high}")
        return value

    return check


def port(value: Any) -> int:
    """Check a TCP port; ``BASE+N`` stands for the port ``BASE`` plus ``N``."""
    if isinstance(value, str) and (match := PORT_OFFSET_PATTERN.fullmatch(value)):
        value = int(match[1]) + int(match[2])
    if isinstance(value, bool) or not isinstance(value, int) or not 1 <= value <= MAX_PORT:
        raise vol.Invalid(f"expected a port from 1 to {MAX_PORT}")
    return value


def endpoint(value: Any) -> str:
    """Check an address of the form ``IP:PORT`` or ``[IPv6]:PORT``."""
    host, separator, number = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not separator or not number.isdigit():
        raise vol.Invalid("expected IP:PORT")
    port(int(number))
    address = ip(host[1:-1] if host.startswith("[") and host.endswith("]") else host)
    if (":" in address) != host.startswith("["):
        raise vol.Invalid("expected IPv4:PORT or [IPv6]:PORT")
    return str(value)


def text(value: Any) -> str:
    """Check a non-empty string."""
    if not isinstance(value, str) or not value:
        raise vol.Invalid("expected a non-empty text")
    return value


def module(value: Any) -> str:
    """Check the name of a Python module."""
    if not isinstance(value, str) or not MODULE_PATTERN.fullmatch(value):
        raise vol.Invalid("expected the name of a Python module")
    return value


def ratio(value: Any) -> float:
    """Check a number from 0 to 1."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value <= 1:
        raise vol.Invalid("expected a number from 0 to 1")
    return float(value)


def non_empty_list(item: Any) -> Any:
    """Return a validator for a non-empty list."""
    return vol.All([item], vol.Length(min=1, msg="expected at least one item"))


def listener(value: Any) -> dict[str, Any]:
    """Check an address to listen on: ``IP:PORT``, or a mapping with ``ip`` and ``port``."""
    if not isinstance(value, str):
        checked: dict[str, Any] = LISTENER_SCHEMA(value)
        return checked
    host, _, number = endpoint(value).rpartition(":")
    return {"ip": host.strip("[]"), "port": int(number)}


LISTENER_SCHEMA = vol.Schema({vol.Required("ip"): ip, vol.Required("port"): port})
LISTENER = listener

MEMBER = {
    vol.Required("name"): name,
    vol.Required("domain"): name,
    vol.Required("address"): endpoint,
}

ADDRESS_TRANSLATION = {vol.Required("address"): endpoint, vol.Required("via"): endpoint}

BETWEEN_PROCESSES = vol.Any(
    {vol.Required("mode"): "unauthenticated"},
    {
        vol.Required("mode"): "mutual_tls",
        vol.Required("ca"): text,
        vol.Required("certificate"): text,
        vol.Required("key"): text,
    },
    msg="expected mode unauthenticated, or mode mutual_tls with ca, certificate and key",
)

OPERATORS = vol.Any(
    {vol.Required("mode"): "unauthenticated"},
    {
        vol.Required("mode"): "token_file",
        vol.Required("file"): text,
        vol.Inclusive("certificate", "tls"): text,
        vol.Inclusive("key", "tls"): text,
    },
    msg="expected mode unauthenticated, or mode token_file with file and, for TLS, certificate and"
    " key",
)

ENTRY = {
    vol.Required("callers"): LISTENER,
    vol.Optional("servers"): LISTENER,
    vol.Optional("peers"): non_empty_list(MEMBER),
    vol.Optional("control"): non_empty_list(endpoint),
    vol.Optional("concurrency", default=1024): count(1, 100_000),
    vol.Optional("connections_per_server", default=16): count(1, 10_000),
    vol.Optional("buffer", default="64KiB"): size("4KiB", "4MiB"),
    vol.Optional("order_body", default="1MiB"): size("1KiB", "16MiB"),
    vol.Optional("held_bodies", default="48MiB"): size("1MiB", "16GiB"),
    vol.Optional("upload_held", default="512KiB"): size("0B", "16MiB"),
    vol.Optional("coordinator_term", default="400ms"): duration("100ms", "10s"),
    vol.Optional("session_term", default="600ms"): duration("200ms", "60s"),
    vol.Optional("heartbeat_wait", default="150ms"): duration("10ms", "10s"),
    vol.Optional("server_staleness", default="3s"): duration("500ms", "60s"),
    vol.Optional("sync_interval", default="100ms"): duration("10ms", "5s"),
    vol.Optional("connect_timeout", default="1s"): duration("10ms", "60s"),
    vol.Optional("owner_wait", default="24h"): duration("0s", "24h"),
    vol.Optional("place_wait", default="24h"): duration("0s", "24h"),
    vol.Optional("longest_pause", default="30s"): duration("0s", "1h"),
}

CONTROL = {
    vol.Required("operators"): LISTENER,
    vol.Required("data_folder"): text,
    vol.Optional("replicas"): non_empty_list(MEMBER),
    vol.Optional("heartbeat", default="100ms"): duration("10ms", "5s"),
    vol.Optional("election_timeout", default="500ms"): duration("50ms", "30s"),
    vol.Optional("snapshot_records", default=10_000): count(10, 10_000_000),
    vol.Optional("tolerated_losses", default=1): count(0, 100),
}

FLEET = {
    vol.Required("adapter"): module,
    vol.Required("seeds"): non_empty_list(endpoint),
    vol.Required("first_start"): bool,
    vol.Optional("listener"): LISTENER,
    vol.Required("heartbeat"): duration("100ms", "60s"),
    vol.Optional("hold", default="6s"): duration("500ms", "60s"),
    vol.Optional("longest_hold", default="60s"): duration("500ms", "60s"),
    vol.Optional("domain_routing", default=False): bool,
    vol.Optional("owner_limits", default=False): bool,
    vol.Optional("pool_admission", default=False): bool,
    vol.Optional("retry_ratio", default=0.2): ratio,
    vol.Optional("apply_within", default="2s"): duration("500ms", "60s"),
    vol.Optional("capacity_planning", default=False): bool,
    vol.Optional("silent_after", default=3): count(1, 100),
}

LIMITS = {
    vol.Optional("connections"): count(4, 1_000_000),
    vol.Optional("connections_per_address", default=0): count(0, 1_000_000),
    vol.Optional("head", default="16KiB"): size("1KiB", "1MiB"),
    vol.Optional("fields", default=128): count(16, 10_000),
    vol.Optional("empty_lines", default="1KiB"): size("2B", "64KiB"),
    vol.Optional("head_time", default="10s"): duration("100ms", "10min"),
    vol.Optional("idle_time", default="120s"): duration("1s", "1h"),
    vol.Optional("pipelined", default=4): count(1, 32),
    vol.Optional("unread_body", default="8MiB"): size("1MiB", "1GiB"),
    vol.Optional("unread_time", default="30s"): duration("1s", "10min"),
    vol.Optional("held", default="32MiB"): size("1MiB", "1GiB"),
}

SETTINGS_SCHEMA = vol.Schema(
    {
        vol.Required("name"): name,
        vol.Required("domain"): name,
        vol.Required("roles"): vol.All(non_empty_list(vol.In(["entry", "control"])), vol.Unique()),
        vol.Required("rpc"): LISTENER,
        vol.Required("platform"): LISTENER,
        vol.Required("security"): {
            vol.Required("between_processes"): BETWEEN_PROCESSES,
            vol.Optional("operators"): OPERATORS,
        },
        vol.Optional("address_translation", default=list): [ADDRESS_TRANSLATION],
        vol.Optional("entry"): ENTRY,
        vol.Optional("control"): CONTROL,
        vol.Optional("fleet"): FLEET,
        vol.Optional("limits", default=dict): LIMITS,
        vol.Optional("memory"): size("16MiB", "1024GiB"),
        vol.Optional("descriptors", default=4096): count(64, 10_000_000),
        vol.Optional("stop", default=dict): {
            vol.Optional("balancer_wait", default="0s"): duration("0s", "10min"),
            vol.Optional("finish_within", default="4h"): duration("0s", "240h"),
            vol.Optional("killed_after"): duration("1s", "240h"),
        },
        vol.Optional("log", default=dict): {
            vol.Optional("file", default="-"): text,
            vol.Optional("lines_per_second", default=500): count(1, 1_000_000),
        },
    }
)
