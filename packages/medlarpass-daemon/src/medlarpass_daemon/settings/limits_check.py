"""Checks that limits fit into the resources of the VM."""

from __future__ import annotations

import math

from typing import TYPE_CHECKING

from medlarpass_daemon.settings.entry import LARGE_BODY_RATIO
from medlarpass_daemon.settings.exceptions import SettingsError
from medlarpass_daemon.settings.limits import CALLERS
from medlarpass_daemon.settings.limits import CONNECTION_BYTES
from medlarpass_daemon.settings.limits import CONTROL
from medlarpass_daemon.settings.limits import OPERATORS
from medlarpass_daemon.settings.limits import PLATFORM
from medlarpass_daemon.settings.limits import SERVERS

if TYPE_CHECKING:
    from pathlib import Path

    from medlarpass_daemon.settings.daemon import DaemonSettings

#: Part of the descriptors that connections of callers and others may use together. The rest is for
#: connections to servers and other processes.
MAX_DESCRIPTOR_RATIO = 0.9
#: Part of the memory that connections may use. The rest is for the interpreter, which needs about
#: 80 MB, and for requests in progress.
MAX_MEMORY_RATIO = 0.5


def check_limits(path: Path, settings: DaemonSettings) -> None:
    """Check the limits of connections and of bodies.

    :raises SettingsError: when they need more descriptors or memory than there is, or an order
        does not fit
    """
    entry = settings.entry
    if entry is not None and entry.order_body > entry.held_bodies * LARGE_BODY_RATIO:
        raise SettingsError(
            str(path),
            "entry.held_bodies",
            f"expected at least {math.ceil(entry.order_body / LARGE_BODY_RATIO)}B, so that an"
            " order of entry.order_body fits",
        )
    count = sum(
        settings.limits.max_connections(port, settings.descriptors) for port in _ports(settings)
    )
    most = int(settings.descriptors * MAX_DESCRIPTOR_RATIO)
    if settings.limits.connections is not None and count > most:
        raise SettingsError(
            str(path),
            "limits.connections",
            f"expected at most {most} connections to all ports, for descriptors:"
            f" {settings.descriptors}; there are {count}",
        )
    needed = count * CONNECTION_BYTES + settings.limits.held
    if settings.memory is not None and needed > settings.memory * MAX_MEMORY_RATIO:
        raise SettingsError(
            str(path),
            "memory",
            f"expected at least {int(needed / MAX_MEMORY_RATIO) >> 20}MiB for {count} connections"
            " to all ports and limits.held; lower limits.connections, limits.held or descriptors",
        )


def _ports(settings: DaemonSettings) -> list[str]:
    """Return the HTTP ports of a process."""
    ports = [PLATFORM]
    if settings.entry is not None:
        ports.append(CALLERS)
        if settings.entry.servers is not None:
            ports.append(SERVERS)
    if settings.control is not None:
        ports.append(OPERATORS)
        if settings.fleet is not None:
            ports.append(CONTROL)
    return ports
