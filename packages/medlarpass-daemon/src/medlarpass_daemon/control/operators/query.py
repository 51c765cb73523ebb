"""Query parameters of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.control.operators.exceptions import InvalidCallError

if TYPE_CHECKING:
    from aiohttp import web

MAX_INTEGER = (1 << 63) - 1


class Query:
    """Validated query parameters of a request.

    :param request: request of an operator
    :param allowed: names of the allowed parameters
    :raises InvalidCallError: when the query has an unknown or a repeated parameter
    """

    __slots__ = ("values",)

    def __init__(self, request: web.Request, *allowed: str) -> None:
        self.values: dict[str, str] = {}
        for name, value in request.query.items():
            if name not in allowed:
                allowed_names = ", ".join(allowed) or "none"
                raise InvalidCallError(f"unknown query parameter; allowed: {allowed_names}")
            if name in self.values:
                raise InvalidCallError(f"{name}: expected at most once")
            self.values[name] = value

    def text(self, name: str) -> str | None:
        """Return a string parameter, None when it is absent."""
        return self.values.get(name)

    def flag(self, name: str) -> bool:
        """Return a boolean parameter, false when it is absent."""
        value = self.values.get(name, "false")
        if value not in ("true", "false"):
            raise InvalidCallError(f"{name}: expected true or false")
        return value == "true"

    def number(self, name: str, default: int, low: int, high: int = MAX_INTEGER) -> int:
        """Return an integer parameter from ``low`` to ``high``."""
        value = self.values.get(name, str(default))
        # The length is checked first, so that int() never converts an overlong string.
        is_decimal = value.isascii() and value.isdigit() and len(value) <= len(str(high))
        if not is_decimal or not low <= int(value) <= high:
            raise InvalidCallError(f"{name}: expected an integer from {low} to {high}")
        return int(value)
