"""Loads and validates a settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import voluptuous as vol
import yaml

from medlarpass_daemon.settings.daemon import DaemonSettings
from medlarpass_daemon.settings.exceptions import SettingsError
from medlarpass_daemon.settings.limits_check import check_limits
from medlarpass_daemon.settings.schema import SETTINGS_SCHEMA
from medlarpass_daemon.settings.unique_key_loader import UniqueKeyLoader

if TYPE_CHECKING:
    from pathlib import Path


def load_settings(path: Path) -> DaemonSettings:
    """Load and validate a settings file.

    :param path: YAML file
    :raises SettingsError: with the file, the key and the expected value
    """
    document = _validate(path, _parse(path))
    _check_sections(path, document)
    settings = DaemonSettings(document, path)
    _check_consistency(path, settings)
    check_limits(path, settings)
    return settings


def _parse(path: Path) -> Any:
    try:
        return yaml.load(path.read_text(encoding="utf-8"), Loader=UniqueKeyLoader)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(path), "", f"expected a readable file ({error})") from error
    except yaml.YAMLError as error:
        raise SettingsError(str(path), "", f"expected YAML ({error})") from error


def _validate(path: Path, document: Any) -> dict[str, Any]:
    if not isinstance(document, dict):
        raise SettingsError(str(path), "", "expected a mapping")
    try:
        result: dict[str, Any] = SETTINGS_SCHEMA(document)
    except vol.MultipleInvalid as error:
        first = error.errors[0]
        key = ".".join(str(part) for part in first.path)
        raise SettingsError(str(path), key, str(first.msg)) from error
    return result


def _check_sections(path: Path, document: dict[str, Any]) -> None:
    for role in ("entry", "control"):
        if (role in document["roles"]) != (role in document):
            raise SettingsError(
                str(path), role, f"expected the section exactly when roles contains {role}"
            )
    if "control" in document["roles"] and "operators" not in document["security"]:
        raise SettingsError(str(path), "security.operators", "expected for the role control")
    _check_process_lists(path, document)


#: Keys that list other processes, by section. They are excluded when the section ``fleet`` is
#: present, because the processes are then discovered through control.
PROCESS_LIST_KEYS = {"entry": ("servers", "peers", "control"), "control": ("replicas",)}


def _check_process_lists(path: Path, document: dict[str, Any]) -> None:
    for section, keys in PROCESS_LIST_KEYS.items():
        for key in keys:
            if section in document and (key in document[section]) == ("fleet" in document):
                raise SettingsError(
                    str(path), f"{section}.{key}", "expected exactly when there is no section fleet"
                )
    if "fleet" in document and ("listener" in document["fleet"]) != ("control" in document):
        raise SettingsError(
            str(path), "fleet.listener", "expected exactly when roles contains control"
        )


def _check_consistency(path: Path, settings: DaemonSettings) -> None:
    entry = settings.entry
    if entry is None or settings.fleet is not None:
        return
    peer_names = [peer.name for peer in entry.peers]
    if len(set(peer_names)) != len(peer_names):
        raise SettingsError(str(path), "entry.peers", "expected each name once")
    own_entries = [peer for peer in entry.peers if peer.name == settings.name]
    if not own_entries or own_entries[0].domain != settings.domain:
        raise SettingsError(str(path), "entry.peers", "expected this entry with its failure domain")
    if entry.heartbeat_wait * 2 > entry.session_term:
        raise SettingsError(
            str(path), "entry.session_term", "expected at least twice entry.heartbeat_wait"
        )
    if entry.coordinator_term > entry.session_term:
        raise SettingsError(
            str(path), "entry.coordinator_term", "expected at most entry.session_term"
        )
