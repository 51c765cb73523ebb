"""Errors of the operators' API."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class OperatorCallError(MedlarpassError):
    """A request of an operator was refused."""

    code = "operator_call_refused"
    http_status = 400
    outcome = Outcome.NOT_RUN


class InvalidCallError(OperatorCallError):
    """The request has malformed JSON, an unknown key, a wrong type or a value out of range."""

    code = "invalid_call"


class CallTooLargeError(OperatorCallError):
    """The request body or a document in it exceeds its size limit."""

    code = "call_too_large"
    http_status = 413


class UnauthenticatedError(OperatorCallError):
    """The request has no bearer token, or one that the token file does not list."""

    code = "unauthenticated"
    http_status = 401


class ForbiddenError(OperatorCallError):
    """The token does not permit changes."""

    code = "forbidden"
    http_status = 403


class EvacuationNotSupportedError(OperatorCallError):
    """This control does not discover servers, so that an evacuation would have no effect."""

    code = "evacuation_not_supported"
    http_status = 422


class ItemNotFoundError(OperatorCallError):
    """No route or pool has this name."""

    code = "item_not_found"
    http_status = 404


class UnknownCallError(OperatorCallError):
    """The API has no such path."""

    code = "unknown_call"
    http_status = 404


class MethodNotAllowedError(OperatorCallError):
    """The path does not support this HTTP method."""

    code = "method_not_allowed"
    http_status = 405


class TokenFileError(OperatorCallError):
    """The token file can't be read or is invalid.

    :param file: path of the token file
    :param expected: description of what was expected
    """

    code = "invalid_token_file"
    http_status = 500

    def __init__(self, file: str, expected: str) -> None:
        super().__init__(f"{file}: {expected}")
        self.file = file
        self.expected = expected
