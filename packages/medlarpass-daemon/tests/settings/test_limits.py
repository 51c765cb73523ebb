"""Guards against limits that need more than the VM has."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest
import yaml

from medlarpass_daemon.settings import LimitSettings
from medlarpass_daemon.settings import SettingsError
from medlarpass_daemon.settings import load_settings
from medlarpass_daemon.settings.limits import CALLERS
from medlarpass_daemon.settings.limits import CONTROL
from medlarpass_daemon.settings.limits import OPERATORS
from medlarpass_daemon.settings.limits import PLATFORM

if TYPE_CHECKING:
    from pathlib import Path

    from medlarpass_daemon.settings import DaemonSettings


def load(folder: Path, **options: Any) -> DaemonSettings:
    document = {
        "name": "entry-1",
        "domain": "north",
        "roles": ["entry"],
        "rpc": "127.0.0.1:7000",
        "platform": "127.0.0.1:7001",
        "security": {"between_processes": {"mode": "unauthenticated"}},
        "entry": {
            "callers": "127.0.0.1:7002",
            "servers": "127.0.0.1:7003",
            "peers": [{"name": "entry-1", "domain": "north", "address": "127.0.0.1:7000"}],
            "control": ["127.0.0.1:7100"],
        },
        **options,
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(document))
    return load_settings(path)


def test_missing_section_and_schema_have_the_same_defaults(tmp_path: Path) -> None:
    """Guards against defaults that differ between a settings file and a part made without one."""
    assert load(tmp_path).limits == LimitSettings()


@pytest.mark.parametrize("descriptors", [64, 1_638, 4_096, 10_250])
def test_default_limits_fit_any_number_of_descriptors(tmp_path: Path, descriptors: int) -> None:
    """Guards against ports that use the descriptors of the connections to servers."""
    limits = load(tmp_path, descriptors=descriptors).limits
    ports = (CALLERS, CONTROL, OPERATORS, PLATFORM)
    connections = sum(limits.max_connections(port, descriptors) for port in ports)
    assert connections <= descriptors * 0.9
    assert limits.max_connections(CALLERS, descriptors) >= descriptors // 2


@pytest.mark.parametrize(
    ("options", "key"),
    [
        ({"limits": {"connections": 4_000}}, "limits.connections"),
        ({"memory": "64MiB"}, "memory"),
        ({"memory": "440MiB", "descriptors": 20_000}, "memory"),
        ({"memory": "160MiB", "limits": {"held": "96MiB"}}, "memory"),
        ({"limits": {"pipelined": 0}}, "limits.pipelined"),
        ({"limits": {"heads": "1KiB"}}, "limits.heads"),
    ],
)
def test_limits_above_the_resources_are_refused(
    tmp_path: Path, options: dict[str, Any], key: str
) -> None:
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, **options)
    assert key in str(caught.value)


@pytest.mark.parametrize(
    "options",
    [
        {"limits": {"connections": 2_000}},
        {"memory": "160MiB", "descriptors": 1_638},
        {"memory": "440MiB", "descriptors": 4_096},
    ],
)
def test_limits_within_the_resources_are_accepted(tmp_path: Path, options: dict[str, Any]) -> None:
    load(tmp_path, **options)


def test_the_memory_for_bodies_holds_an_order_of_the_greatest_size(tmp_path: Path) -> None:
    """Guards against orders that are accepted by their size and never get memory."""
    entry = {
        "callers": "127.0.0.1:7002",
        "servers": "127.0.0.1:7003",
        "peers": [{"name": "entry-1", "domain": "north", "address": "127.0.0.1:7000"}],
        "control": ["127.0.0.1:7100"],
        "order_body": "16MiB",
    }
    with pytest.raises(SettingsError, match=r"entry\.held_bodies"):
        load(tmp_path, entry={**entry, "held_bodies": "20MiB"})
    load(tmp_path, entry={**entry, "held_bodies": "22MiB"})
