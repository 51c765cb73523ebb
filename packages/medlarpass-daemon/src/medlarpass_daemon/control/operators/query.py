"""Query parameters of calls."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.control.operators.exceptions import InvalidCallError

if TYPE_CHECKING:
    from aiohttp import web

MAX_NUMBER = (1 << 63) - 1


class Query:
    """Checked query parameters of a call.

    :param request: call of an operator
    :param allowed: names of the parameters
    :raises InvalidCallError: when another parameter or a repeated one is present
    """

    __slots__ = ("values",)

    def __init__(self, request: web.Request, *allowed: str) -> None:
        self.values: dict[str, str] = {}
        for name, value in request.query.items():
            if name not in allowed:
                known = ", ".join(allowed) or "none"
                raise InvalidCallError(f"unknown query parameter; there are: {known}")
            if name in self.values:
                raise InvalidCallError(f"{name}: expected once")
            self.values[name] = value

    def text(self, name: str) -> str | None:
        """Return a text, None when it is absent."""
        return self.values.get(name)

    def flag(self, name: str) -> bool:
        """Return a flag, false when it is absent."""
        value = self.values.get(name, "false")
        if value not in ("true", "false"):
            raise InvalidCallError(f"{name}: expected true or false")
        return value == "true"

    def number(self, name: str, default: int, low: int, high: int = MAX_NUMBER) -> int:
        """Return an integer within bounds."""
        value = self.values.get(name, str(default))
        # More digits than the bound has are refused before the conversion.
        digits = value.isascii() and value.isdigit() and len(value) <= len(str(high))
        if not digits or not low <= int(value) <= high:
            raise InvalidCallError(f"{name}: expected an integer from {low} to {high}")
        return int(value)
