"""One attempt to send a request to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError

if TYPE_CHECKING:
    from collections.abc import AsyncIterable
    from collections.abc import Callable

    from multidict import CIMultiDict

    from medlarpass import Clock
    from medlarpass.dispatch import ServerLoadReport
    from medlarpass_daemon.entry.callers.connector import ServerProtocol
    from medlarpass_daemon.entry.callers.dialect import Dialect
    from medlarpass_daemon.entry.callers.interfaces import Target


class Exchange:
    """A request to a server and its transmission state.

    :param target: the server
    :param method: HTTP method
    :param path: path with query, as the caller sent it
    :param headers: headers for the server
    :param body: the body or its chunks, if there is one
    :param request_id: id that the response must carry if the server echoes it
    :param deadline: clock reading at which the response is due
    :param clock: source of time
    :param check_sendable: raises an error when the request must no longer be sent
    :param dialect: headers of the deployment
    """

    __slots__ = (
        "body",
        "check_sendable",
        "clock",
        "deadline",
        "dialect",
        "has_connection",
        "headers",
        "is_unsent",
        "keeps_connection",
        "load",
        "method",
        "path",
        "protocol",
        "request_id",
        "target",
    )

    def __init__(
        self,
        target: Target,
        method: str,
        path: str,
        headers: CIMultiDict[str],
        body: bytes | AsyncIterable[bytes] | None,
        request_id: str,
        deadline: float,
        clock: Clock,
        check_sendable: Callable[[], None],
        dialect: Dialect,
    ) -> None:
        self.target = target
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.deadline = deadline
        self.clock = clock
        self.check_sendable = check_sendable
        self.dialect = dialect
        #: Whether a connection was provided for sending, so that a second one would be a resend.
        self.has_connection = False
        #: Whether the attempt ended before it had a connection, which proves that no byte was sent.
        #: Without this proof, the outcome counts as unknown.
        self.is_unsent = False
        #: Whether the connection is kept for later requests.
        self.keeps_connection = True
        #: Connection on which the request was sent.
        self.protocol: ServerProtocol | None = None
        #: Load that the server reported in its response.
        self.load: ServerLoadReport | None = None

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - self.clock.now()

    def prepare_to_send(self, sent: CIMultiDict[str]) -> None:
        """Check that the request may be sent now and set its remaining time.

        The wait for a connection or a suspension of the process may have used up the remaining
        time since the last check.

        :param sent: headers that are about to be written
        :raises DeadlineExceededError: when the deadline has passed
        """
        self.check_sendable()
        remaining = self.remaining
        if remaining <= 0:
            raise DeadlineExceededError("the deadline passed before the request was sent")
        self.dialect.set_deadline(sent, remaining)
