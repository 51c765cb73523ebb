"""Authentication, rights and error answers of every call."""

from __future__ import annotations

import uuid

from typing import TYPE_CHECKING

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.operators.answers import error_answer
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

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler
    from aiohttp.typedefs import Middleware

    from medlarpass import Clock
    from medlarpass_daemon.control.operators.interfaces import ControlBackend
    from medlarpass_daemon.control.operators.token_file import TokenFile

PRINCIPAL = web.RequestKey("principal", Principal)
REQUEST_ID = web.RequestKey("request_id", str)
READ_METHODS = ("GET", "HEAD")
#: Characters of a path in the audit trail.
MAX_SUMMARY = 200


class Guard:
    """Middleware that wraps every call.

    :param backend: log that audits calls without the right to change
    :param tokens: tokens of operators, None for unauthenticated use
    :param clock: clock for the durations in the log
    """

    def __init__(self, backend: ControlBackend, tokens: TokenFile | None, clock: Clock) -> None:
        self.backend = backend
        self.tokens = tokens
        self.clock = clock

    def middleware(self) -> Middleware:
        """Return the aiohttp middleware."""

        @web.middleware
        async def guard(request: web.Request, handler: Handler) -> web.StreamResponse:
            return await self.answer(request, handler)

        return guard

    async def answer(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Answer a call; every error becomes a typed JSON answer."""
        started = self.clock.now()
        request[REQUEST_ID] = uuid.uuid4().hex
        try:
            answer = await self._checked(request, handler)
        except MedlarpassError as error:
            answer = error_answer(error, request[REQUEST_ID])
        except web.HTTPException as error:
            answer = error_answer(_typed(error), request[REQUEST_ID])
        except Exception as error:
            CALL_FAILED.log(
                request_id=request[REQUEST_ID], call=summary_of(request), error=repr(error)
            )
            answer = error_answer(MedlarpassError("unexpected error"), request[REQUEST_ID])
        if request.method not in READ_METHODS:
            self._log_change(request, answer, started)
        return answer

    async def _checked(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        principal = self._principal(request)
        request[PRINCIPAL] = principal
        if request.method not in READ_METHODS and principal.role is not Role.CHANGE:
            await self._audit_refusal(request, principal)
            raise ForbiddenError(f"{principal.name} has no right to change")
        return await handler(request)

    def _principal(self, request: web.Request) -> Principal:
        if self.tokens is None:
            return ANONYMOUS
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        try:
            if scheme.lower() != "bearer" or not token.isascii():
                raise UnauthenticatedError("expected the header Authorization: Bearer TOKEN")
            return self.tokens.principal(token.strip())
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

    def _log_change(self, request: web.Request, answer: web.StreamResponse, started: float) -> None:
        principal = request.get(PRINCIPAL)
        CHANGE_ANSWERED.log(
            request_id=request[REQUEST_ID],
            author=principal.name if principal else None,
            source=source_of(request),
            call=summary_of(request),
            status=answer.status,
            seconds=round(self.clock.now() - started, 6),
        )


def source_of(request: web.Request) -> str:
    """Return the address that the call came from."""
    return request.remote or ""


def summary_of(request: web.Request) -> str:
    """Return method and path; the path is percent-encoded, hence ASCII."""
    return f"{request.method} {request.rel_url.raw_path}"[:MAX_SUMMARY]


def _typed(error: web.HTTPException) -> MedlarpassError:
    if isinstance(error, web.HTTPNotFound):
        return UnknownCallError("there is no such call")
    if isinstance(error, web.HTTPMethodNotAllowed):
        allowed = ", ".join(sorted(error.allowed_methods))
        return MethodNotAllowedError(f"expected one of {allowed}")
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return CallTooLargeError("the body is too large")
    return InvalidCallError(error.reason)
