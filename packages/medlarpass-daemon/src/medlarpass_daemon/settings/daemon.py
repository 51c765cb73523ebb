"""Settings of a process."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from medlarpass import Value
from medlarpass_daemon.settings.control import ControlSettings
from medlarpass_daemon.settings.entry import EntrySettings
from medlarpass_daemon.settings.fleet import FleetSettings
from medlarpass_daemon.settings.limits import LimitSettings
from medlarpass_daemon.settings.listener import ListenerSettings
from medlarpass_daemon.settings.security import SecuritySettings
from medlarpass_daemon.settings.stop import StopSettings

DEFAULT_LOG_LINES_PER_SECOND = 500
DEFAULT_DESCRIPTOR_COUNT = 4096


class DaemonSettings(Value):
    """All settings of a process.

    :param document: validated settings file
    :param file: path of the settings file
    """

    __slots__ = (
        "address_translation",
        "control",
        "descriptors",
        "domain",
        "entry",
        "file",
        "fleet",
        "limits",
        "log_file",
        "log_rate",
        "memory",
        "name",
        "platform",
        "rpc",
        "security",
        "stop",
    )

    def __init__(self, document: dict[str, Any], file: Path = Path()) -> None:
        self.file = file
        self.name: str = document["name"]
        self.domain: str = document["domain"]
        self.rpc = ListenerSettings(document["rpc"])
        self.platform = ListenerSettings(document["platform"])
        self.security = SecuritySettings(document["security"])
        #: Addresses of processes and servers, mapped to the addresses used to connect to them.
        self.address_translation: dict[str, str] = {
            item["address"]: item["via"] for item in document.get("address_translation", [])
        }
        roles = document["roles"]
        self.entry = EntrySettings(document["entry"]) if "entry" in roles else None
        self.control = ControlSettings(document["control"]) if "control" in roles else None
        #: Discovery through control; None when the settings list the processes.
        self.fleet = FleetSettings(document["fleet"]) if "fleet" in document else None
        self.stop = StopSettings(document["stop"])
        #: File descriptors that the process may need; the soft limit is raised to this number.
        self.descriptors: int = document.get("descriptors", DEFAULT_DESCRIPTOR_COUNT)
        #: Bounds on what callers can use of the process.
        self.limits = LimitSettings(document.get("limits"))
        #: Memory of the VM in bytes; None if it is not known.
        self.memory: int | None = document.get("memory")
        #: Path of the log file, or ``-`` for standard output.
        self.log_file: str = document["log"]["file"]
        #: Maximum number of log lines written per second.
        self.log_rate: int = document["log"].get("lines_per_second", DEFAULT_LOG_LINES_PER_SECOND)
