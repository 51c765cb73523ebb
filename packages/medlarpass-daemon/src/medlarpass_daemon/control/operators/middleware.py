"""Authentication, authorization and error responses for every request."""

from __future__ import annotations

import uuid

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.operators.body import CHANGE_ID_HEADER
from medlarpass_daemon.control.operators.body import CHANGE_ID_PATTERN
from medlarpass_daemon.control.operators.events import AUDIT_FAILED
from medlarpass_daemon.control.operators.events import CALL_FAILED
from medlarpass_daemon.control.operators.events import CALL_UNAUTHENTICATED
from medlarpass_daemon.control.operators.events import CHANGE_ANSWERED
from medlarpass_daemon.control.operators.exceptions import CallTooLargeError
from medlarpass_daemon.control.operators.exceptions import ForbiddenError
from medlarpass_daemon.control.operators.exceptions import InvalidCallError
from medlarpass_daemon.control.operators.exceptions import MethodNotAllowedError
from medlarpass_daemon.control.operators.exceptions import UnauthenticatedError
from medlarpass_daemon.control.operators.exceptions import UnknownCallError
from medlarpass_daemon.control.operators.principal import ANONYMOUS
from medlarpass_daemon.control.operators.principal import Principal
from medlarpass_daemon.control.operators.principal import Role
from medlarpass_daemon.control.operators.responses import error_response

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware

    from medlarpass import Clock
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.control.operators.token_file import TokenFile

PRINCIPAL = web.RequestKey("principal", Principal)
REQUEST_ID = web.RequestKey("request_id", str)
READ_METHODS = ("GET", "HEAD")
#: Limit for method and path in the audit trail and in log events.
MAX_SUMMARY_CHARACTERS = 200


class OperatorMiddleware:
    """Middleware around the handlers of the operators' API.

    :param backend: access to the replicated log, which records requests that were not permitted
    :param tokens: tokens of operators, None to disable authentication
    :param clock: clock for the durations in log events
    """

    def __init__(self, backend: ControlBackend, tokens: TokenFile | None, clock: Clock) -> None:
        self.backend = backend
        self.tokens = tokens
        self.clock = clock

    def middleware(self) -> Middleware:
        """Return the aiohttp middleware."""

        @web.middleware
        async def handle_request(request: web.Request, handler: Handler) -> web.StreamResponse:
            return await self.handle(request, handler)

        return handle_request

    async def handle(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Handle a request; every error becomes a JSON error response with a code."""
        started_at = self.clock.now()
        request[REQUEST_ID] = uuid.uuid4().hex
        try:
            response = await self._authorize_and_handle(request, handler)
        except MedlarpassError as error:
            response = error_response(error, request[REQUEST_ID])
        except web.HTTPException as error:
            response = error_response(_to_medlarpass_error(error), request[REQUEST_ID])
        except Exception as error:
            CALL_FAILED.log(
                request_id=request[REQUEST_ID], call=summary_of(request), error=repr(error)
            )
            response = error_response(MedlarpassError("unexpected error"), request[REQUEST_ID])
        if request.method not in READ_METHODS:
            self._log_change(request, response, started_at)
        return response

    async def _authorize_and_handle(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        principal = self._authenticate(request)
        request[PRINCIPAL] = principal
        if request.method not in READ_METHODS and principal.role is not Role.CHANGE:
            await self._audit_refusal(request, principal)
            raise ForbiddenError(f"the token of {principal.name} does not permit changes")
        return await handler(request)

    def _authenticate(self, request: web.Request) -> Principal:
        if self.tokens is None:
            return ANONYMOUS
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        try:
            if scheme.lower() != "bearer" or not token.isascii():
                raise UnauthenticatedError("expected the header Authorization: Bearer TOKEN")
            return self.tokens.authenticate(token.strip())
        except UnauthenticatedError:
            CALL_UNAUTHENTICATED.log(call=summary_of(request), source=source_of(request))
            raise

    async def _audit_refusal(self, request: web.Request, principal: Principal) -> None:
        change_id = request.headers.get(CHANGE_ID_HEADER, "")
        refusal = control_pb2.RecordRefusal(
            change_id=change_id if CHANGE_ID_PATTERN.fullmatch(change_id) else "",
            author=principal.name,
            source=source_of(request),
            summary=summary_of(request),
            code=ForbiddenError.code,
        )
        command = control_pb2.Command(command_id=uuid.uuid4().hex, record_refusal=refusal)
        try:
            await self.backend.propose(command)
        except MedlarpassError as error:
            AUDIT_FAILED.log(
                author=principal.name, call=summary_of(request), code=error.code, refused=True
            )

    def _log_change(
        self, request: web.Request, response: web.StreamResponse, started_at: float
    ) -> None:
        principal = request.get(PRINCIPAL)
        CHANGE_ANSWERED.log(
            request_id=request[REQUEST_ID],
            author=principal.name if principal else None,
            source=source_of(request),
            call=summary_of(request),
            status=response.status,
            seconds=round(self.clock.now() - started_at, 6),
        )


def source_of(request: web.Request) -> str:
    """Return the remote address of the request, empty when it is not known."""
    return request.remote or ""


def summary_of(request: web.Request) -> str:
    """Return method and path; the percent-encoded path is always ASCII."""
    return f"{request.method} {request.rel_url.raw_path}"[:MAX_SUMMARY_CHARACTERS]


def _to_medlarpass_error(error: web.HTTPException) -> MedlarpassError:
    if isinstance(error, web.HTTPNotFound):
        return UnknownCallError("the API has no such path")
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        return MethodNotAllowedError(f"method not allowed; expected one of {allowed}")
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return CallTooLargeError("the request body is too large")
    return InvalidCallError(error.reason)
