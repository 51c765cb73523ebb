"""Errors of the request path, as answered to callers."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class CallerError(MedlarpassError):
    """A request was refused before it reached a server."""

    code = "invalid_request"
    http_status = 400
    outcome = Outcome.NOT_RUN


class InvalidHeaderError(CallerError):
    """A header is invalid, too long or contradicts another one."""

    code = "invalid_header"


class BodyTooLargeError(CallerError):
    """The body is above the limit of its route."""

    code = "body_too_large"
    http_status = 413


class BodyIncompleteError(CallerError):
    """The caller's body broke off."""

    code = "body_incomplete"


class CallerGoneError(CallerError):
    """The caller closed its connection before the request was sent."""

    code = "caller_gone"


class NoOwnerError(CallerError):
    """No server owns the key at present."""

    code = "no_owner"
    http_status = 503
    # A range moves within a fraction of a second; the keys of a lost server take longer.
    retry_after = 0.5


class DeadlineExceededError(CallerError):
    """The deadline passed before a byte was sent to a server."""

    code = "deadline_exceeded"
    http_status = 504


class DeadlineOutcomeUnknownError(DeadlineExceededError):
    """The deadline passed after the request may have been sent."""

    code = "deadline_outcome_unknown"
    outcome = Outcome.UNKNOWN


class RoutesUnknownError(CallerError):
    """This entry has no routes yet, or can't be sure that they are the newest."""

    code = "routes_unknown"
    http_status = 503


class RouteChangedError(CallerError):
    """The route changed while the request waited, which would have to be read in another way."""

    code = "route_changed"
    http_status = 503


class RouteMovedError(RouteChangedError):
    """The route went to another pool before the request was sent."""

    code = "route_moved"


class ServersBusyError(CallerError):
    """All servers that may run the request had no room for too long."""

    code = "servers_busy"
    http_status = 503
    # A server with several slots ends a request about this often.
    retry_after = 0.1


class ServerUnreachableError(CallerError):
    """No connection to the server could be opened."""

    code = "server_unreachable"
    http_status = 503
    retry_after = 0.5


class ServerRefusedError(CallerError):
    """The server refused the request before running it.

    :param refusal: reason given by the server, such as ``shedding``
    """

    code = "server_refused"
    http_status = 503
    # As for a busy server: later, the answer would be too late for its caller.
    retry_after = 0.1

    def __init__(self, refusal: str) -> None:
        super().__init__(f"the server refused the request before running it: {refusal}")
        self.refusal = refusal


class AnswerLostError(CallerError):
    """The request may have been sent and no complete answer arrived."""

    code = "answer_lost"
    http_status = 502
    outcome = Outcome.UNKNOWN


class CrossedAnswerError(AnswerLostError):
    """The answer carries the id of another request."""

    code = "crossed_answer"


class OwnerChangedError(AnswerLostError):
    """The key moved to another server before the answer arrived; the answer was dropped."""

    code = "owner_changed"
    http_status = 503


class KeyMovedError(NoOwnerError):
    """The key moved to another server before the request was sent."""

    code = "key_moved"
