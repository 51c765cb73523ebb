"""Connections to a server."""

from __future__ import annotations

import asyncio

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from aiohttp import ClientPayloadError
from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler

from medlarpass_daemon.entry.callers.events import UNEXPECTED_BYTES
from medlarpass_daemon.entry.callers.exceptions import AnswerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp import ClientRequest
    from aiohttp import ClientTimeout
    from aiohttp.connector import Connection

    from medlarpass_daemon.entry.callers.exchange import Exchange
    from medlarpass_daemon.entry.callers.interfaces import Target


#: Maximum number of response heads in one exchange: informational ones and the final one. A faulty
#: server may send heads without end, and each uses memory until it is read.
MAX_HEAD_COUNT = 8
#: Maximum number of bytes received without completing a head or a part of a body. The parser limits
#: the size of heads itself, but not the number of digits in a chunk size.
MAX_UNPARSED_BYTES = 256 * 1024


#: Number of refusals after which a connection is closed, so that none has to be forgotten.
MAX_REFUSED_COUNT = 64


class ServerProtocol(ResponseHandler):
    """Aborts a connection that receives more than one response to the request in flight.

    It also distinguishes a connection reset from a regular close. A close may delimit a response
    without a length; after a reset the response is incomplete.
    """

    #: Whether an exchange uses the connection.
    is_in_use = False
    #: Ids of the requests that were refused on this connection; None before the first.
    refused_ids: set[str] | None = None
    #: Number of exchanges up to now.
    exchange_count = 0
    #: Response heads received in the current exchange.
    head_count = 0
    #: Heads and bytes of the body received so far.
    progress = (0, 0)
    #: Bytes received since the last progress.
    unparsed_bytes = 0

    def begin_exchange(self) -> None:
        """Expect the response to a request that is about to be sent."""
        self.is_in_use = True
        self.exchange_count += 1
        self.head_count = 0
        self.unparsed_bytes = 0

    def end_exchange(self) -> None:
        """Expect no more bytes."""
        self.is_in_use = False

    def accepts(self, request_id: str) -> bool:
        """Return whether a response with this id can only belong to a request that is sent now.

        A faulty server may send a refusal a second time, late. After the request is sent again on
        the same connection, that copy would count as the refusal of the new attempt.
        """
        refused = self.refused_ids
        return refused is None or (request_id not in refused and len(refused) < MAX_REFUSED_COUNT)

    def record_refusal(self, request_id: str) -> None:
        """Record that a request was refused on this connection."""
        if self.refused_ids is None:
            self.refused_ids = set()
        self.refused_ids.add(request_id)

    def data_received(self, data: bytes) -> None:
        """Process bytes of a response; abort if no exchange expects any."""
        if data and not self.is_in_use:
            self._abort("received bytes outside an exchange")
            return
        super().data_received(data)
        self._check_progress(len(data))

    def _check_progress(self, size: int) -> None:
        """Count bytes that complete neither a head nor a part of a body."""
        payload = self._payload
        progress = (self.head_count, payload.total_bytes if payload is not None else 0)
        if progress != self.progress:
            self.progress = progress
            self.unparsed_bytes = 0
            return
        self.unparsed_bytes += size
        if self.unparsed_bytes > MAX_UNPARSED_BYTES:
            self._abort("received too many bytes without a response head or body")

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Process a response head."""
        self.head_count += 1
        if self.head_count > MAX_HEAD_COUNT:
            self._abort("received too many response heads in one exchange")
            return
        super().feed_data(data, size)

    def _abort(self, reason: str) -> None:
        if self.transport is not None and not self.transport.is_closing():
            UNEXPECTED_BYTES.log(reason=reason)
            self.set_exception(ClientPayloadError(reason))
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a response that a connection reset truncated as incomplete."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the connection was reset: {exc!r}"))
        super().connection_lost(exc)


class NoResendConnector(TCPConnector):
    """Provides at most one connection per exchange, so that a request is never resent.

    :param options: options of ``TCPConnector``
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The base class creates protocols only through this factory.
        self._factory = cast(
            "partial[ResponseHandler]",
            partial(ServerProtocol, loop=asyncio.get_running_loop()),
        )

    #: Number of exchanges that use a connection.
    in_use_count = 0
    #: Set while ``wait_until_unused`` waits.
    unused_event: asyncio.Event | None = None

    async def connect_for(
        self,
        exchange: Exchange,
        request: ClientRequest,
        timeout: ClientTimeout,
        check_target: Callable[[Target], None],
    ) -> Connection:
        """Return a connection for an exchange, after checking that its request may be sent.

        :param check_target: raises an error when the server must get no requests now
        :raises AnswerLostError: when the exchange already had a connection
        """
        if exchange.has_connection:
            raise AnswerLostError("the connection broke before the response")
        try:
            connection = await self._connect_clean(exchange.request_id, request, timeout)
            try:
                check_target(exchange.target)
                exchange.prepare_to_send(request.headers)
            except BaseException:
                connection.release()
                raise
        except BaseException:
            exchange.is_unsent = True
            raise
        exchange.has_connection = True
        self.in_use_count += 1
        protocol = cast("ServerProtocol", connection.protocol)
        exchange.protocol = protocol
        protocol.begin_exchange()
        connection.add_callback(partial(self._on_released, protocol, exchange))
        return connection

    async def wait_until_unused(self) -> None:
        """Return when no exchange uses a connection."""
        if self.in_use_count:
            self.unused_event = asyncio.Event()
            await self.unused_event.wait()

    def _on_released(self, protocol: ServerProtocol, exchange: Exchange) -> None:
        protocol.end_exchange()
        if not exchange.keeps_connection:
            protocol.force_close()
        self.in_use_count -= 1
        if self.unused_event is not None and not self.in_use_count:
            self.unused_event.set()

    async def _connect_clean(
        self, request_id: str, request: ClientRequest, timeout: ClientTimeout
    ) -> Connection:
        """Return a connection on which any response belongs to the request.

        Bytes after a response would be taken for the response to the next request.
        """
        while True:
            connection = await self.connect(request, [], timeout)
            protocol = cast("ServerProtocol | None", connection.protocol)
            is_clean = protocol is not None and not protocol.should_close
            if protocol is not None and is_clean and protocol.accepts(request_id):
                return connection
            connection.close()
