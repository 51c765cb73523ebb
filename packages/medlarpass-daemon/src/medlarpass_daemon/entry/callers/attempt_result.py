"""Result of the attempt that succeeded."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass_daemon.entry.callers.server_permit import ServerPermit
    from medlarpass_daemon.entry.callers.server_response import ServerResponse


class AttemptResult:
    """A server's response that can be forwarded to the caller.

    :param response: response whose headers have arrived
    :param permit: permit of the attempt, still open
    :param body_start: first part of the body
    """

    __slots__ = ("body_start", "permit", "response")

    def __init__(self, response: ServerResponse, permit: ServerPermit, body_start: bytes) -> None:
        self.response = response
        self.permit = permit
        self.body_start = body_start
