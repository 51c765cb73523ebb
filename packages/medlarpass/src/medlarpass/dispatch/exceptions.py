"""Errors of the request path."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class DispatchError(MedlarpassError):
    """A request was refused before any byte was sent to a server."""

    code = "dispatch_error"
    http_status = 503
    outcome = Outcome.NOT_RUN


class NoServerError(DispatchError):
    """No server of the pool is available."""

    code = "no_server"


class QueueFullError(DispatchError):
    """The queue of the route is full."""

    code = "queue_full"


class DeadlineTooCloseError(DispatchError):
    """The expected wait and run time exceed the time that remains until the deadline."""

    code = "deadline_too_close"
    http_status = 504


class UnknownRouteError(DispatchError):
    """A request names a route for which no share was declared."""

    code = "unknown_route_share"
    http_status = 500
