"""Guards against a process that starts with misinterpreted settings."""

from __future__ import annotations

import copy

from typing import Any

import pytest
import yaml

from medlarpass_daemon.settings import SettingsError
from medlarpass_daemon.settings import load_settings
from medlarpass_daemon.settings.stop import StopSettings

ENTRY = {
    "name": "entry-1",
    "domain": "north",
    "roles": ["entry"],
    "rpc": {"ip": "127.0.0.1", "port": 7000},
    "platform": {"ip": "127.0.0.1", "port": 7001},
    "security": {"between_processes": {"mode": "unauthenticated"}},
    "entry": {
        "callers": {"ip": "127.0.0.1", "port": 7002},
        "servers": {"ip": "127.0.0.1", "port": 7003},
        "peers": [{"name": "entry-1", "domain": "north", "address": "127.0.0.1:7000"}],
        "control": ["127.0.0.1:7100"],
    },
}
CONTROL = {
    "name": "control-1",
    "domain": "north",
    "roles": ["control"],
    "rpc": {"ip": "::1", "port": 7100},
    "platform": {"ip": "127.0.0.1", "port": 7101},
    "security": {
        "between_processes": {
            "mode": "mutual_tls",
            "ca": "ca.pem",
            "certificate": "control-1.pem",
            "key": "control-1.key",
        },
        "operators": {"mode": "token_file", "file": "tokens.yaml"},
    },
    "control": {
        "operators": {"ip": "127.0.0.1", "port": 7102},
        "data_folder": "data",
        "replicas": [{"name": "control-1", "domain": "north", "address": "[::1]:7100"}],
    },
}
REMOVED = object()


def with_value(document: dict[str, Any], key: str, value: object) -> dict[str, Any]:
    result = copy.deepcopy(document)
    *sections, last = key.split(".")
    section_value = result
    for section in sections:
        section_value = section_value[section]
    if value is REMOVED:
        del section_value[last]
    else:
        section_value[last] = value
    return result


def load_document(tmp_path, document):
    path = tmp_path / "settings.yaml"
    path.write_text(document if isinstance(document, str) else yaml.safe_dump(document))
    return load_settings(path)


def test_entry_gets_its_defaults_in_seconds_and_bytes(tmp_path) -> None:
    settings = load_document(tmp_path, ENTRY)
    assert settings.control is None
    assert settings.entry.session_term == pytest.approx(0.6)
    assert settings.entry.buffer == 64 * 1024
    assert settings.entry.peers[0].address == "127.0.0.1:7000"
    assert settings.stop.finish_within == 4 * 3600
    assert settings.security.tls is None
    assert settings.log_file == "-"


def test_a_stop_ends_before_the_process_is_killed() -> None:
    """Guards against requests that are cut off although the platform would wait longer for them.

    With a grace of 10 s requests were cut off after 5.5 s.
    """
    document = {"balancer_wait": 2.5, "finish_within": 3600.0}
    for grace, expected in ((6.0, 3.0), (10.0, 7.0), (1.0, 0.0)):
        settings = StopSettings(document | {"killed_after": grace})
        assert settings.finish_within == pytest.approx(expected)
    assert StopSettings(document).finish_within == 3600.0


def test_control_gets_its_paths(tmp_path) -> None:
    settings = load_document(tmp_path, CONTROL)
    assert settings.entry is None
    assert str(settings.security.operator_tokens) == "tokens.yaml"
    assert str(settings.security.tls.key) == "control-1.key"
    assert settings.rpc.endpoint() == "[::1]:7100"


INTEGER = "expected an integer from 1 to 100000"
BRACKETS = "expected IPv4:PORT or [IPv6]:PORT"
INVALID_SETTINGS = [
    ("unknown key", ENTRY, "colour", "red", "colour", "extra keys not allowed"),
    ("unknown nested key", ENTRY, "entry.colour", "red", "entry.colour", "extra keys not allowed"),
    ("missing key", ENTRY, "name", REMOVED, "name", "required key not provided"),
    ("missing nested key", ENTRY, "entry.callers", REMOVED, "entry.callers", "required key"),
    ("text as integer", ENTRY, "entry.concurrency", "many", "entry.concurrency", INTEGER),
    ("below the bounds", ENTRY, "entry.concurrency", 0, "entry.concurrency", INTEGER),
    ("above the bounds", ENTRY, "entry.concurrency", 100_001, "entry.concurrency", INTEGER),
    ("true as integer", ENTRY, "entry.concurrency", True, "entry.concurrency", INTEGER),
    ("fraction as integer", ENTRY, "entry.concurrency", 1.5, "entry.concurrency", INTEGER),
    ("text as section", ENTRY, "stop", "127.0.0.1:1", "stop", "expected a dictionary"),
    ("text as listener", ENTRY, "rpc", "127.0.0.1", "rpc", "expected IP:PORT"),
    ("text as list", ENTRY, "entry.peers", "entry-1", "entry.peers", "expected a list"),
    ("empty list", ENTRY, "entry.control", [], "entry.control", "expected at least one item"),
    ("old key", CONTROL, "control.join", False, "control.join", "extra keys not allowed"),
    ("no unit", ENTRY, "entry.session_term", 600, "entry.session_term", "unit of ms, s, min or h"),
    ("bad unit", ENTRY, "entry.session_term", "1 day", "entry.session_term", "unit of ms, s"),
    ("duration out of bounds", ENTRY, "entry.session_term", "61s", "entry.session_term", "to 60s"),
    ("negative duration", ENTRY, "stop", {"balancer_wait": "-1s"}, "stop.balancer_wait", "unit"),
    ("size without unit", ENTRY, "entry.buffer", 65536, "entry.buffer", "unit of B, KiB"),
    ("decimal size unit", ENTRY, "entry.buffer", "64kB", "entry.buffer", "unit of B, KiB"),
    ("size out of bounds", ENTRY, "entry.buffer", "1GiB", "entry.buffer", "4KiB to 4MiB"),
    ("host name", ENTRY, "rpc.ip", "localhost", "rpc.ip", "expected an IP number"),
    ("integer as IP", ENTRY, "rpc.ip", 2130706433, "rpc.ip", "expected an IP number"),
    ("true as name", ENTRY, "name", True, "name", "lower-case letters"),
    ("true as text", ENTRY, "log", {"file": True}, "log.file", "non-empty text"),
    ("port out of bounds", ENTRY, "rpc.port", 65536, "rpc.port", "port from 1 to 65535"),
    ("text as port", ENTRY, "rpc.port", "7000", "rpc.port", "port from 1 to 65535"),
    ("true as port", ENTRY, "rpc.port", True, "rpc.port", "port from 1 to 65535"),
    ("address without port", ENTRY, "entry.control", ["127.0.0.1"], "entry.control.0", "IP:PORT"),
    ("bare IPv6", ENTRY, "entry.control", ["::1:7000"], "entry.control.0", BRACKETS),
    ("IPv4 in brackets", ENTRY, "entry.control", ["[127.0.0.1]:1"], "entry.control.0", BRACKETS),
    ("one bracket", ENTRY, "entry.control", ["[::1:7000"], "entry.control.0", "IP number"),
    ("port 0", ENTRY, "entry.control", ["127.0.0.1:0"], "entry.control.0", "port from 1"),
    (
        "half of a translation",
        ENTRY,
        "address_translation",
        [{"address": "127.0.0.1:1"}],
        "address_translation.0.via",
        "required key",
    ),
    ("upper-case name", ENTRY, "name", "Entry", "name", "lower-case letters"),
    ("unknown role", ENTRY, "roles", ["relay"], "roles.0", "value must be one of"),
    ("role twice", ENTRY, "roles", ["entry", "entry"], "roles", "duplicate"),
    (
        "no chosen mode",
        ENTRY,
        "security.between_processes",
        {},
        "security.between_processes",
        "expected mode unauthenticated, or mode mutual_tls",
    ),
    (
        "half of TLS",
        CONTROL,
        "security.between_processes.key",
        REMOVED,
        "security.between_processes",
        "ca, certificate and key",
    ),
    (
        "token file without its name",
        CONTROL,
        "security.operators.file",
        REMOVED,
        "security.operators",
        "mode token_file with file",
    ),
    ("control without operators", CONTROL, "security.operators", REMOVED, "security.operators", ""),
    ("section without role", ENTRY, "control", CONTROL["control"], "control", "roles contains"),
    ("role without section", ENTRY, "entry", REMOVED, "entry", "roles contains entry"),
    ("not among the peers", ENTRY, "name", "entry-2", "entry.peers", "this entry"),
    ("other domain than as peer", ENTRY, "domain", "south", "entry.peers", "failure domain"),
    (
        "peer twice",
        ENTRY,
        "entry.peers",
        ENTRY["entry"]["peers"] * 2,
        "entry.peers",
        "each name once",
    ),
    (
        "wait against term",
        ENTRY,
        "entry.heartbeat_wait",
        "400ms",
        "entry.session_term",
        "at least twice entry.heartbeat_wait",
    ),
    (
        "lease against term",
        ENTRY,
        "entry.coordinator_term",
        "1s",
        "entry.coordinator_term",
        "at most entry.session_term",
    ),
]


@pytest.mark.parametrize(
    ("document", "key", "value", "error_key", "expected"),
    [row[1:] for row in INVALID_SETTINGS],
    ids=[row[0] for row in INVALID_SETTINGS],
)
def test_error_names_file_key_and_expectation(
    tmp_path, document, key, value, error_key, expected
) -> None:
    with pytest.raises(SettingsError) as caught:
        load_document(tmp_path, with_value(document, key, value))
    error = caught.value
    assert error.file == str(tmp_path / "settings.yaml")
    assert error.key == error_key
    assert expected in error.expected
    assert error.message == f"{error.file}: {error_key}: {error.expected}"


@pytest.mark.parametrize(
    ("text", "expected"),
    [("", "a mapping"), ("- a\n", "a mapping"), ("a: [\n", "YAML"), ("a: \x00", "YAML")],
)
def test_file_that_is_no_mapping_is_refused(tmp_path, text, expected) -> None:
    with pytest.raises(SettingsError) as caught:
        load_document(tmp_path, text)
    assert expected in caught.value.expected


@pytest.mark.parametrize(
    "text",
    [
        "name: entry-1\nname: entry-2\n",
        "rpc: {ip: 127.0.0.1, port: 7000, port: 7001}\n",
        "entry:\n  peers:\n  - {name: a, domain: north}\n  - {name: b, name: c}\n",
    ],
    ids=["whole file", "section", "list item"],
)
def test_repeated_key_is_refused(tmp_path, text) -> None:
    """Guards against a value that YAML would silently override by a duplicate key."""
    with pytest.raises(SettingsError) as caught:
        load_document(tmp_path, text)
    assert caught.value.expected.startswith("expected YAML")
    assert "is repeated" in caught.value.expected
    assert "line" in caught.value.expected


def test_missing_and_binary_files_are_refused(tmp_path) -> None:
    with pytest.raises(SettingsError, match="readable file"):
        load_settings(tmp_path / "none.yaml")
    (tmp_path / "binary.yaml").write_bytes(b"\xff\xfe\xfd")
    with pytest.raises(SettingsError, match="readable file"):
        load_settings(tmp_path / "binary.yaml")
