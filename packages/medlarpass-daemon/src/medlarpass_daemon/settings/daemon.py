"""Settings of a process."""

from __future__ import annotations

from typing import Any

from medlarpass import Value
from medlarpass_daemon.settings.control import ControlSettings
from medlarpass_daemon.settings.entry import EntrySettings
from medlarpass_daemon.settings.listener import ListenerSettings
from medlarpass_daemon.settings.security import SecuritySettings
from medlarpass_daemon.settings.stop import StopSettings


class DaemonSettings(Value):
    """All settings of a process.

    :param document: validated settings file
    """

    __slots__ = (
        "address_translation",
        "control",
        "domain",
        "entry",
        "log_file",
        "name",
        "platform",
        "rpc",
        "security",
        "stop",
    )

    def __init__(self, document: dict[str, Any]) -> None:
        self.name: str = document["name"]
        self.domain: str = document["domain"]
        self.rpc = ListenerSettings(document["rpc"])
        self.platform = ListenerSettings(document["platform"])
        self.security = SecuritySettings(document["security"])
        #: Addresses of other processes and servers that are reached from here by another one.
        self.address_translation: dict[str, str] = {
            item["address"]: item["via"] for item in document.get("address_translation", [])
        }
        roles = document["roles"]
        self.entry = EntrySettings(document["entry"]) if "entry" in roles else None
        self.control = ControlSettings(document["control"]) if "control" in roles else None
        self.stop = StopSettings(document["stop"])
        #: Path of the log file, or ``-`` for standard error.
        self.log_file: str = document["log"]["file"]
