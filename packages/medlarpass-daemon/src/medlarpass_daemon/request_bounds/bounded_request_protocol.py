"""Reads requests in front of the HTTP parser, with bounds on what one connection uses."""

from __future__ import annotations

import contextlib
import socket

from typing import TYPE_CHECKING
from typing import cast

from aiohttp import StreamReader
from aiohttp import hdrs
from aiohttp import web
from aiohttp.http import RawRequestMessage
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestPayloadError
from aiohttp.web_protocol import _ErrInfo

from medlarpass_daemon.request_bounds.exceptions import EmptyLinesError
from medlarpass_daemon.request_bounds.exceptions import HeadTimeoutError
from medlarpass_daemon.request_bounds.exceptions import HeadTooLargeError
from medlarpass_daemon.request_bounds.exceptions import InvalidBodyError
from medlarpass_daemon.request_bounds.exceptions import InvalidHttpError
from medlarpass_daemon.request_bounds.exceptions import RequestBoundError

if TYPE_CHECKING:
    import asyncio

    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Any

    from medlarpass_daemon.request_bounds.port_bounds import PortBounds
    from medlarpass_daemon.request_bounds.request_limits import RequestLimits

EMPTY_LINE = b"\r\n"
HEAD_END = b"\r\n\r\n"
#: Bytes of a body that are passed to the parser at a time.
BODY_PART_BYTES = 64 * 1024
#: The same for chunked bodies. The next head may begin in a part, and is not counted up to its end.
CHUNKED_PART_BYTES = 16 * 1024
#: Most bytes around the content of a chunked body, such as chunk sizes, without any content.
MAX_FRAMING_BYTES = 64 * 1024
#: Exceptions of handlers that read an invalid body.
CALLER_FAULTS = (RequestBoundError, RequestPayloadError, web.HTTPRequestEntityTooLarge)
#: Response to a connection above the limit. It is written before a request is read, so none ran.
FULL_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 1\r\n"
    b"Connection: close\r\n\r\n"
)


class BoundedRequestProtocol(web.RequestHandler):
    """Passes the bytes of requests to the parser of aiohttp in bounded parts.

    The settings of aiohttp don't suffice. After an error its protocol still passes everything that
    arrives to the parser, and each time queues another error with a copy of the bytes, until the
    first error is answered; the parser skips empty lines before a request without end, limits lines
    but not heads, and has no limit of time for a head. So this class counts the bytes of a head
    however it is split, passes at most one head at a time, and nothing after an error.

    Whether a head is complete is decided by the parser alone: a request has begun when it has
    emitted one. A wrong guess about the end of a head here only makes the count inexact.

    :param port: bounds of the port
    :param max_body: most bytes of a body that handlers read into memory; None if they stream bodies
    :param manager: see ``web.RequestHandler``
    :param options: see ``web.RequestHandler``
    """

    __slots__ = (
        "backlog",
        "body_bytes",
        "body_length",
        "body_progress",
        "connection",
        "dropped_bytes",
        "empty_bytes",
        "framing_bytes",
        "head_bytes",
        "head_tail",
        "head_timer",
        "held_bytes",
        "is_refused",
        "limits",
        "max_body",
        "payload",
        "port",
        "unread_bytes",
        "write_timer",
    )

    def __init__(
        self,
        port: PortBounds,
        manager: web.Server,
        *,
        loop: asyncio.AbstractEventLoop,
        max_body: int | None = None,
        **options: Any,
    ) -> None:
        super().__init__(manager, loop=loop, **options)
        self.port = port
        self.max_body = max_body
        self.limits: RequestLimits = port.limits
        # Read by the base class, which pauses and resumes reading at these lengths of its queue.
        self._max_msg_queue_size = self.limits.settings.pipelined
        self._msg_queue_resume_size = self.limits.settings.pipelined // 2
        #: Received bytes that the parser has not got yet.
        self.backlog = b""
        #: Bytes of the head that is being received, and the last three of them.
        self.head_bytes = 0
        self.head_tail = b""
        self.head_timer: asyncio.TimerHandle | None = None
        #: Bytes of empty lines since the last request.
        self.empty_bytes = 0
        #: Body of the latest request, and the bytes of it that are missing; None if it is chunked.
        self.payload: StreamReader = EMPTY_PAYLOAD
        self.body_length: int | None = 0
        #: Bytes of the body that handlers of the latest request may keep in memory.
        self.body_bytes = 0
        #: Bytes of content received in the body, and bytes received since without content.
        self.body_progress = 0
        self.framing_bytes = 0
        #: Bytes of the body that arrived when its request had been answered.
        self.dropped_bytes = 0
        #: Bytes that this connection holds.
        self.held_bytes = 0
        self.is_refused = False
        self.write_timer: asyncio.TimerHandle | None = None
        #: Bytes of a response that wait for the caller to read, with what is read ahead for them.
        self.unread_bytes = 0
        #: The transport, also after the base class has closed it.
        self.connection: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, unless the port has too many."""
        super().connection_made(transport)
        self.connection = cast("asyncio.Transport", transport)
        self._bound_unread_time(self.connection)
        peer = transport.get_extra_info("peername")
        if self.port.admit(self, str(peer[0]) if peer else ""):
            return
        self.connection.write(FULL_RESPONSE)
        self.abandon()

    def _bound_unread_time(self, transport: asyncio.Transport) -> None:
        """Let the kernel end the connection when the caller takes no byte for some time.

        A closed transport stays open until its last bytes are sent, which nothing here limits.
        """
        connection = transport.get_extra_info("socket")
        if connection is not None:
            milliseconds = round(self.limits.settings.unread_time * 1000)
            # The caller may have reset the connection already.
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what the connection holds."""
        self._stop()
        self._stop_write_timer()
        self.port.remove(self)
        super().connection_lost(exc)

    def abandon(self) -> None:
        """Close the connection at once."""
        self._stop()
        self.force_close()

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser as far as the bounds allow.

        aiohttp calls this without data when it continues to read.
        """
        if self.is_refused or self._close or self._force_close:
            self._stop()
            return
        if data:
            self.backlog = self.backlog + data if self.backlog else data
        else:
            self._parse(b"")
        self._parse_backlog()

    def _resume_reading_if_drained(self) -> None:
        """Continue to read once few requests wait; never after an error."""
        if not self.is_refused:
            super()._resume_reading_if_drained()

    def _resume_reading_for_buffer(self) -> None:
        """Continue with the bytes that arrived while requests were waiting."""
        super()._resume_reading_for_buffer()
        if self.backlog:
            self._parse_backlog()

    def _parse_backlog(self) -> None:
        while self.backlog and not (
            self._reading_paused
            or self._buffer_paused
            or self._close
            or self._force_close
            or self.is_refused
        ):
            if self._upgraded or self._payload_parser is not None:
                self._parse(self._take(len(self.backlog)))
            elif self.payload.is_eof():
                self._parse_head()
            else:
                self._parse_body()
        self._update_held_bytes()

    def _take(self, size: int) -> bytes:
        """Remove bytes from the beginning of the backlog and return them."""
        taken, self.backlog = self.backlog[:size], self.backlog[size:]
        return taken

    def _parse_head(self) -> None:
        """Pass empty lines before a request, or bytes up to the end of a head."""
        if not self.head_bytes:
            size = len(self.backlog) - len(self.backlog.lstrip(EMPTY_LINE))
            if size:
                self.empty_bytes += size
                if self.empty_bytes > self.limits.settings.empty_lines:
                    self._refuse(EmptyLinesError("too many empty lines before a request"))
                else:
                    self._parse(self._take(size))
                return
        # The tail is shorter than the sequence, so a match ends after the tail.
        start = (self.head_tail + self.backlog).find(HEAD_END)
        end = start + len(HEAD_END) - len(self.head_tail) if start >= 0 else len(self.backlog)
        self.head_bytes += end
        if self.head_bytes > self.limits.head_bytes:
            self._refuse(HeadTooLargeError(f"the head exceeds {self.limits.head_bytes} bytes"))
            return
        part = self._take(end)
        if self._parse(part) or self.is_refused:
            return
        self.head_tail = (self.head_tail + part)[1 - len(HEAD_END) :]
        if self.head_timer is None:
            self.head_timer = self._loop.call_later(self.limits.head_seconds, self._on_head_timeout)

    def _parse_body(self) -> None:
        if self.body_length is None:
            part = self._take(CHUNKED_PART_BYTES)
        else:
            part = self._take(min(max(self.body_length, 1), BODY_PART_BYTES))
            self.body_length -= len(part)
        if self.max_body is not None:
            self.body_bytes = min(self.body_bytes + len(part), self.max_body)
        # Between the end of a request and the next one, the rest of a body is read and dropped.
        is_dropped = not (self._request_in_progress or self._messages or self._waiter)
        has_next = self._parse(part)
        if has_next or self.is_refused:
            return
        if self.payload.total_bytes != self.body_progress:
            self.body_progress = self.payload.total_bytes
            self.framing_bytes = 0
        else:
            self.framing_bytes += len(part)
            if self.framing_bytes > MAX_FRAMING_BYTES:
                self._refuse(InvalidBodyError("the body has too many bytes around its content"))
                return
        if is_dropped:
            self.dropped_bytes += len(part)
            if self.dropped_bytes > self.limits.settings.unread_body:
                self._record_refusal("unread_body")
                self.payload.feed_eof()
                self.abandon()

    def _parse(self, data: bytes) -> bool:
        """Pass bytes to the parser and return whether another request has begun."""
        count = len(self._messages)
        super().data_received(data)
        if len(self._messages) == count:
            return False
        message, payload = self._messages[-1]
        if not isinstance(message, RawRequestMessage):
            # The base class has queued an error in place of a request.
            self._messages.pop()
            cause = message.message if isinstance(message, _ErrInfo) else ""
            error_type = InvalidHttpError if self.payload.is_eof() else InvalidBodyError
            self._refuse(error_type(f"the request is not valid HTTP: {cause.splitlines()[0]}"))
            return False
        self._stop_head()
        self.port.record_head(self)
        self.payload = payload
        self.empty_bytes = self.body_bytes = self.body_progress = self.framing_bytes = (
            self.dropped_bytes
        ) = 0
        length = message.headers.get(hdrs.CONTENT_LENGTH)
        self.body_length = None if length is None else int(length)
        self._check_body_length(self.body_length or 0)
        return True

    def _check_body_length(self, length: int) -> None:
        """Let a handler fail at once that reads a body which is far too large.

        It would fail anyway, but only after it has read as much as it accepts. A body that is a bit
        too large is read, so that its sender gets the response and not a reset.
        """
        if self.max_body is None or length <= self.max_body + self.limits.settings.unread_body:
            return
        self.payload.set_exception(
            web.HTTPRequestEntityTooLarge(max_size=self.max_body, actual_size=length)
        )
        self._record_refusal("body_too_large")
        self._end_after_responses()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request and release its body."""
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            if not self._messages:
                self.body_bytes = 0
            self._update_held_bytes()

    def _refuse(self, error: RequestBoundError) -> None:
        """Answer an error after the requests that were complete, then close the connection."""
        self._record_refusal(error.code)
        if not self.payload.is_eof():
            # The error belongs to a request that has begun, whose handler answers it.
            self._end_payload(error)
            self._end_after_responses()
            return
        self._stop_reading()
        info = _ErrInfo(status=error.http_status, exc=error, message=error.message)
        self._messages.append((info, EMPTY_PAYLOAD))
        self._request_count += 1
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end_after_responses(self) -> None:
        """Read nothing more, and close the connection after the response that is due."""
        self._stop_reading()
        self.close()

    def _stop_reading(self) -> None:
        self._stop()
        self.is_refused = True
        if not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _end_payload(self, error: RequestBoundError) -> None:
        if self._request_in_progress or self._messages:
            self.payload.set_exception(error)
        else:
            self.payload.feed_eof()

    def _record_refusal(self, reason: str) -> None:
        self.port.record_refusal(reason, self.port.connections.get(self, ""))

    def _on_head_timeout(self) -> None:
        self.head_timer = None
        self._refuse(HeadTimeoutError("the head was not complete in time"))

    def _process_keepalive(self) -> None:
        """Close an idle connection; one that receives a head has a timer of its own."""
        if self.head_timer is None:
            super()._process_keepalive()
        else:
            self._keepalive_handle = None

    def pause_writing(self) -> None:
        """Wait for the caller to read, for a limited time."""
        super().pause_writing()
        self.write_timer = self._loop.call_later(
            self.limits.settings.unread_time, self._on_write_timeout
        )
        if self.connection is not None:
            self.unread_bytes = self.connection.get_write_buffer_size()
        if self.max_body is None:
            # The stream of the server's response reads up to twice its limit ahead.
            self.unread_bytes += 2 * self._read_bufsize
        self.port.process.stalled[self] = None
        self._update_held_bytes()

    def resume_writing(self) -> None:
        """Continue to write."""
        self._stop_write_timer()
        super().resume_writing()
        self._update_held_bytes()

    def _on_write_timeout(self) -> None:
        self.write_timer = None
        self.abort("unread_response")

    def abort(self, reason: str) -> None:
        """Close the connection without waiting for what was written.

        :param reason: reason in metrics and log
        """
        self._record_refusal(reason)
        self._stop_write_timer()
        self._stop()
        if self.connection is not None:
            self.connection.abort()

    def _stop_write_timer(self) -> None:
        self.unread_bytes = 0
        self.port.process.stalled.pop(self, None)
        if self.write_timer is not None:
            self.write_timer.cancel()
            self.write_timer = None

    def _stop_head(self) -> None:
        """Expect the next head."""
        self.head_bytes = 0
        self.head_tail = b""
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def _stop(self) -> None:
        """Drop what was received and not parsed."""
        self._stop_head()
        self.backlog = b""
        self._count_held_bytes(0)

    def _update_held_bytes(self) -> None:
        if self._force_close:
            self._count_held_bytes(0)
            return
        waiting = max(len(self._messages) - 1, 0) * self.limits.head_bytes
        received = self.head_bytes + len(self.backlog) + waiting + self.body_bytes
        held_bytes = received + self.unread_bytes
        if held_bytes == self.held_bytes:
            return
        self._count_held_bytes(held_bytes)
        self.port.process.abort_stalled()
        if not self._force_close and not self.port.may_hold(held_bytes):
            self._record_refusal("held")
            self.abandon()

    def _count_held_bytes(self, held_bytes: int) -> None:
        self.port.process.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that failed.

        Faults of the caller are not logged by aiohttp, because callers could fill the log.
        """
        if isinstance(exc, RequestPayloadError):
            exc = InvalidBodyError("the body is incomplete or not valid HTTP")
        elif isinstance(exc, HttpProcessingError):
            exc = InvalidHttpError("the request is not valid HTTP")
        if not isinstance(exc, RequestBoundError):
            return super().handle_error(request, status, exc, message)
        response = self.refusal_response(request, exc)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log an exception, unless it is the fault of the caller."""
        if not isinstance(options.get("exc_info"), CALLER_FAULTS):
            super().log_exception(*args, **options)

    def refusal_response(
        self, request: web.BaseRequest, error: RequestBoundError
    ) -> web.StreamResponse:
        """Return the response to a request that exceeds a bound or is not valid HTTP."""
        return web.json_response(
            {"code": error.code, "message": error.message}, status=error.http_status
        )
