"""Limits of the requests on one connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from medlarpass import Value

if TYPE_CHECKING:
    from medlarpass.publication import CallerLimits
    from medlarpass_daemon.settings import LimitSettings

#: Added to the size of a head, because a limit of field lines may not count the request line.
REQUEST_LINE_BYTES = 4096


class RequestLimits(Value):
    """Limits in force on new connections; durations in seconds, sizes in bytes.

    :param settings: limits of the settings
    :param published: limits of the publication in force, which callers are told
    """

    __slots__ = ("head_bytes", "head_seconds", "idle_seconds", "line_bytes", "settings")

    def __init__(self, settings: LimitSettings, published: CallerLimits | None = None) -> None:
        self.settings = settings
        self.line_bytes = settings.head
        self.head_seconds = settings.head_time
        self.idle_seconds = settings.idle_time
        if published is not None:
            self.line_bytes = published.header_bytes
            self.head_seconds = published.header_seconds
            self.idle_seconds = published.idle_seconds
        #: Bytes of a head from its request line to its empty line.
        self.head_bytes = self.line_bytes + REQUEST_LINE_BYTES

    def protocol_options(self) -> dict[str, Any]:
        """Return the options of aiohttp's protocol that bound single lines and idle time."""
        return {
            "access_log": None,
            "keepalive_timeout": self.idle_seconds,
            "max_line_size": self.line_bytes,
            "max_field_size": self.line_bytes,
            "max_headers": self.settings.fields,
        }
