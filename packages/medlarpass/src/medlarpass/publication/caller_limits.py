"""Limits on the size and duration of requests from callers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Mapping

DEFAULT_HEADER_BYTES = 16 * 1024
DEFAULT_BODY_BYTES = 64 << 20
DEFAULT_HEADER_SECONDS = 10.0
DEFAULT_IDLE_SECONDS = 60.0


class CallerLimits(Value):
    """Limits of a publication; sizes in bytes, times in seconds.

    :param document: section ``limits``; missing values get defaults
    """

    __slots__ = ("body_bytes", "header_bytes", "header_seconds", "idle_seconds")

    def __init__(self, document: Mapping[str, Any]) -> None:
        self.header_bytes = int(document.get("header_bytes", DEFAULT_HEADER_BYTES))
        self.body_bytes = int(document.get("body_bytes", DEFAULT_BODY_BYTES))
        self.header_seconds = float(document.get("header_seconds", DEFAULT_HEADER_SECONDS))
        #: Time for which an idle connection of a caller is kept open.
        self.idle_seconds = float(document.get("idle_seconds", DEFAULT_IDLE_SECONDS))
