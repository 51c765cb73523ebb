"""Body of a caller's request."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from aiohttp import HttpVersion11

from medlarpass_daemon.entry.callers.exceptions import BodyIncompleteError
from medlarpass_daemon.entry.callers.exceptions import BodyTooLargeError
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

    from medlarpass_daemon.entry.callers.body_budget import BodyBudget

#: Part of the remaining time for which a body waits for memory. The rest is for its transfer and
#: for the server.
MEMORY_WAIT_RATIO = 1 / 3
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerBody:
    """A body that is buffered in memory if small, and streamed otherwise.

    :param web: the caller's request
    :param max_size: maximum size in bytes
    :param budget: memory for the bodies of all requests
    :raises BodyTooLargeError: when Content-Length exceeds the limit
    """

    __slots__ = (
        "budget",
        "buffered_parts",
        "data",
        "is_continue_handled",
        "is_stream_started",
        "length",
        "max_size",
        "received",
        "reserved",
        "web",
    )

    def __init__(self, web: web.BaseRequest, max_size: int, budget: BodyBudget) -> None:
        self.web = web
        self.budget = budget
        self.max_size = max_size
        self.length = web.content_length
        #: The complete body, once it was read.
        self.data: bytes | None = None
        #: Parts that were read before the body turned out to be too large to buffer.
        self.buffered_parts: list[bytes] = []
        #: Bytes read from the caller's connection.
        self.received = 0
        #: Bytes reserved in the budget.
        self.reserved = 0
        self.is_continue_handled = False
        #: Whether an attempt has started to stream the body.
        self.is_stream_started = False
        if self.length is not None and self.length > max_size:
            raise BodyTooLargeError(f"the request body exceeds {max_size} bytes")

    @property
    def is_streamed(self) -> bool:
        """Whether the body has to be streamed."""
        return self.data is None and self.web.body_exists

    @property
    def can_resend(self) -> bool:
        """Whether another attempt can still send the complete body."""
        return not self.is_stream_started

    async def buffer(self, remaining: float, max_bytes: int | None = None) -> None:
        """Read the whole body into memory, unless it is larger than ``max_bytes``.

        :param remaining: seconds until the deadline
        :param max_bytes: size above which the rest is streamed; None for no limit
        :raises BodiesFullError: when the bodies of other requests use the memory
        :raises BodyTooLargeError: when the body exceeds its maximum size
        :raises BodyIncompleteError: when the caller's connection ended within the body
        :raises DeadlineExceededError: when the body did not arrive in time
        """
        if not self.is_streamed:
            return
        if max_bytes is not None and self.length is not None and self.length > max_bytes:
            return
        deadline = asyncio.get_running_loop().time() + remaining
        if self.length is not None:
            await self.budget.reserve(self.length, max(remaining, 0) * MEMORY_WAIT_RATIO)
            self.reserved = self.length
        try:
            async with asyncio.timeout_at(deadline):
                while (part := await self._next_part()) is not None:
                    self._reserve_received()
                    self.buffered_parts.append(part)
                    if max_bytes is not None and self.received > max_bytes:
                        return
        except TimeoutError as error:
            raise DeadlineExceededError("the body did not arrive in time") from error
        self.data = b"".join(self.buffered_parts)
        self.buffered_parts.clear()

    def release(self) -> None:
        """Return the memory of the body once nothing sends it any more."""
        self.budget.release(self.reserved)
        self.reserved = 0

    def _reserve_received(self) -> None:
        size = self.received - self.reserved
        if size > 0:
            self.budget.extend(size, self.received)
            self.reserved += size

    def content_for_attempt(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body for one attempt: its bytes, its stream, or None if it is empty."""
        if self.is_streamed:
            return self._stream()
        return self.data or None

    async def _stream(self) -> AsyncIterator[bytes]:
        self.is_stream_started = True
        while self.buffered_parts:
            yield self.buffered_parts.pop(0)
        while (part := await self._next_part()) is not None:
            yield part

    async def _next_part(self) -> bytes | None:
        """Return the next part of the body, or None at its end."""
        await self._send_continue()
        content = self.web.content
        while not content.at_eof():
            try:
                part = await content.readany()
            except Exception as error:
                raise BodyIncompleteError("the request body is incomplete") from error
            self.received += len(part)
            if self.received > self.max_size:
                raise BodyTooLargeError(f"the request body exceeds {self.max_size} bytes")
            if part:
                return part
        return None

    async def _send_continue(self) -> None:
        if self.is_continue_handled:
            return
        self.is_continue_handled = True
        expected = self.web.headers.get("Expect", "").lower() == "100-continue"
        if not expected or self.web.version < HttpVersion11:
            return
        await self.web.writer.write(CONTINUE)
        # aiohttp treats the response as started once the writer has written bytes.
        self.web.writer.output_size = 0
