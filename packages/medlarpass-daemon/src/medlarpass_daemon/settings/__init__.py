"""Settings of the daemon, read from YAML and validated before the process starts."""

from __future__ import annotations

from medlarpass_daemon.settings.control import ControlSettings
from medlarpass_daemon.settings.daemon import DaemonSettings
from medlarpass_daemon.settings.entry import EntrySettings
from medlarpass_daemon.settings.exceptions import SettingsError
from medlarpass_daemon.settings.fleet import FleetSettings
from medlarpass_daemon.settings.limits import LimitSettings
from medlarpass_daemon.settings.listener import ListenerSettings
from medlarpass_daemon.settings.loader import load_settings
from medlarpass_daemon.settings.member import MemberSettings
from medlarpass_daemon.settings.security import SecuritySettings
from medlarpass_daemon.settings.security import TlsSettings
from medlarpass_daemon.settings.stop import StopSettings

__all__ = [
    "ControlSettings",
    "DaemonSettings",
    "EntrySettings",
    "FleetSettings",
    "LimitSettings",
    "ListenerSettings",
    "MemberSettings",
    "SecuritySettings",
    "SettingsError",
    "StopSettings",
    "TlsSettings",
    "load_settings",
]
