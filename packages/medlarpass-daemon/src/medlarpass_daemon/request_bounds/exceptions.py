"""Errors of requests that exceed a bound. None of these requests was run."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class RequestBoundError(MedlarpassError):
    """A request was refused before it was complete."""

    code = "request_bound"
    http_status = 400
    outcome = Outcome.NOT_RUN


class InvalidHttpError(RequestBoundError):
    """The bytes of a connection are not HTTP."""

    code = "invalid_http"


class EmptyLinesError(RequestBoundError):
    """Too many empty lines came before a request."""

    code = "empty_lines"


class HeadTooLargeError(RequestBoundError):
    """The head of a request exceeds its bound."""

    code = "head_too_large"
    http_status = 431


class HeadTimeoutError(RequestBoundError):
    """The head of a request was not complete in time."""

    code = "head_timeout"
    http_status = 408


class InvalidBodyError(RequestBoundError):
    """The body of a request is not valid HTTP, or has too many bytes around its content."""

    code = "invalid_body"
