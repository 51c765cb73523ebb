from __future__ import annotations

import os

from typing import TYPE_CHECKING

import pytest
import yaml

from medlarpass_daemon.seeds import Seeds
from medlarpass_daemon.settings import SettingsError
from medlarpass_daemon.settings import load_settings
from medlarpass_daemon.settings_watcher import SettingsWatcher

if TYPE_CHECKING:
    from pathlib import Path


def document(*seeds: str) -> dict[str, object]:
    """Return the settings of an entry that discovers control through seeds."""
    return {
        "name": "e1",
        "domain": "d",
        "roles": ["entry"],
        "rpc": "127.0.0.1:7000",
        "platform": "127.0.0.1:7001",
        "security": {"between_processes": {"mode": "unauthenticated"}},
        "entry": {"callers": "127.0.0.1:7002"},
        "fleet": {
            "adapter": "medlarpass_platform",
            "seeds": list(seeds),
            "first_start": False,
            "heartbeat": "1s",
        },
    }


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "settings.yaml"
    write(path, document("10.0.0.1:80"))
    return path


def write(path: Path, settings: object) -> None:
    """Write settings with a later modification time than the previous write."""
    previous_time = path.stat().st_mtime_ns if path.exists() else 0
    path.write_text(yaml.safe_dump(settings), encoding="utf-8")
    os.utime(path, ns=(previous_time + 10**9, previous_time + 10**9))


def create_watcher(path: Path) -> tuple[SettingsWatcher, Seeds]:
    """Return a watcher of a file and the seeds that it updates."""
    settings = load_settings(path)
    seeds = Seeds(settings)
    return SettingsWatcher(settings, seeds), seeds


def test_seeds_are_reached_at_the_port_between_processes(file: Path) -> None:
    """Guards against gRPC calls to the port of the listener for servers."""
    assert create_watcher(file)[1].addresses == ["10.0.0.1:7000"]


def test_a_change_without_a_signal_is_seen(file: Path) -> None:
    """Guards against changed seeds that are not noticed without a signal."""
    watcher, seeds = create_watcher(file)
    write(file, document("10.0.0.2:80", "10.0.0.3:80"))
    watcher.check_file(is_requested=False)
    assert seeds.addresses == ["10.0.0.2:7000", "10.0.0.3:7000"]


def test_invalid_settings_leave_the_old_ones_in_force(file: Path) -> None:
    """Guards against a process that stops or loses its seeds because of an invalid file."""
    watcher, seeds = create_watcher(file)
    write(file, {"name": 7})
    watcher.check_file(is_requested=True)
    assert seeds.addresses == ["10.0.0.1:7000"]


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("entry", "peers", [{"name": "e1", "domain": "d", "address": "10.0.0.1:1"}]),
        ("entry", "control", ["10.0.0.1:1"]),
        ("fleet", "listener", "10.0.0.1:1"),
    ],
)
def test_lists_and_discovery_exclude_each_other(
    file: Path, section: str, key: str, value: object
) -> None:
    """Guards against a list in the settings that is silently ignored."""
    settings = document("10.0.0.1:80")
    settings[section][key] = value  # type: ignore[index]
    write(file, settings)
    with pytest.raises(SettingsError, match=f"{section}.{key}"):
        load_settings(file)
