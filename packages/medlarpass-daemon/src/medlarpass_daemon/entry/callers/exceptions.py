"""Errors of the request path, which are sent to callers."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class CallerError(MedlarpassError):
    """A request was rejected before it reached a server."""

    code = "invalid_request"
    http_status = 400
    outcome = Outcome.NOT_RUN


class InvalidHeaderError(CallerError):
    """A header is invalid, too long or contradicts another one."""

    code = "invalid_header"


class BodyTooLargeError(CallerError):
    """The body exceeds the limit of its route."""

    code = "body_too_large"
    http_status = 413


class BodyIncompleteError(CallerError):
    """The caller's connection ended before the body was complete."""

    code = "body_incomplete"


class CallerGoneError(CallerError):
    """The caller closed its connection before the request was sent."""

    code = "caller_gone"


class NoOwnerError(CallerError):
    """No server currently owns the key."""

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
    """This entry has no routes yet, or can't confirm that they are current."""

    code = "routes_unknown"
    http_status = 503


class RouteChangedError(CallerError):
    """The route changed while the request waited, in a way that requires other handling."""

    code = "route_changed"
    http_status = 503


class RouteMovedError(RouteChangedError):
    """The route was changed to another pool before the request was sent."""

    code = "route_moved"


class BodiesFullError(CallerError):
    """The bodies of other requests use the memory of this entry."""

    code = "bodies_full"
    http_status = 503


class ServersBusyError(CallerError):
    """No server that can run the request had capacity within the maximum wait."""

    code = "servers_busy"
    http_status = 503
    # A server with several slots completes a request at about this interval.
    retry_after = 0.1


class OwnerBusyError(ServersBusyError):
    """The owner of the key refuses requests, and the wait for a turn would exceed the target.

    :param retry_after: seconds after which the requests that wait now are expected to be done
    """

    code = "owner_busy"

    def __init__(self, message: str, retry_after: float) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class PoolOverloadedError(CallerError):
    """The pool is asked for more than it can serve, and this request is beyond the admitted share.

    :param retry_after: seconds after which the caller should come back
    """

    code = "pool_overloaded"
    http_status = 503

    def __init__(self, message: str, retry_after: float) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class EntryStoppingError(CallerError):
    """The request was still queued when this entry had to end; another entry can run it."""

    code = "entry_stopping"
    http_status = 503
    retry_after = 0.1


class ServersPausedError(CallerError):
    """All servers that can run the request have asked for a pause.

    :param retry_after: seconds until the first pause ends
    """

    code = "servers_paused"
    http_status = 503

    def __init__(self, retry_after: float) -> None:
        super().__init__("all servers that can run the request have asked for a pause")
        self.retry_after = retry_after


class ServersLeavingError(CallerError):
    """All servers that can run the request are leaving."""

    code = "servers_leaving"
    http_status = 503


class ServersEvacuatedError(CallerError):
    """All servers that can run the request are in evacuated failure domains."""

    code = "servers_evacuated"
    http_status = 503
    # An evacuation lasts longer than any request; callers only have to notice its end soon.
    retry_after = 1.0


class ServerColdError(CallerError):
    """The servers that can run the request are cold, and their share of requests is used up.

    :param retry_after: seconds until the first of them is expected to be warm
    """

    code = "server_cold"
    http_status = 503

    def __init__(self, message: str, retry_after: float) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class ServerOverloadedError(CallerError):
    """The owner of the key gets more requests than it can handle; this one is over its share."""

    code = "server_overloaded"
    http_status = 503
    # Neighbouring keys are moved to other servers within about this time.
    retry_after = 1.0


class ServerNotAcceptingError(CallerError):
    """The chosen server leaves, asks for a pause or was evacuated since its choice."""

    code = "server_not_accepting"
    http_status = 503


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
    # As for a busy server; with a longer wait the response would be too late for the caller.
    retry_after = 0.1

    def __init__(self, refusal: str) -> None:
        super().__init__(f"the server refused the request before running it: {refusal}")
        self.refusal = refusal


class AnswerLostError(CallerError):
    """The request may have been sent, but no complete response arrived."""

    code = "answer_lost"
    http_status = 502
    outcome = Outcome.UNKNOWN


class InvalidStatusError(AnswerLostError):
    """The response has a status that is not a final response to the request."""

    code = "invalid_status"


class CrossedAnswerError(AnswerLostError):
    """The response carries the id of another request."""

    code = "crossed_answer"


class OwnerChangedError(AnswerLostError):
    """The key moved to another server before the response arrived; the response was discarded."""

    code = "owner_changed"
    http_status = 503


class KeyMovedError(NoOwnerError):
    """The key moved to another server before the request was sent."""

    code = "key_moved"
