"""Connections to one server."""

from __future__ import annotations

import asyncio

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from aiohttp import ClientPayloadError
from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler

from medlarpass_daemon.entry.callers.exceptions import AnswerLostError

if TYPE_CHECKING:
    from aiohttp import ClientRequest
    from aiohttp import ClientTimeout
    from aiohttp.connector import Connection

    from medlarpass_daemon.entry.callers.exchange import Exchange


class ServerProtocol(ResponseHandler):
    """Tells the reset of a connection from its end.

    The end of a connection may be that of an answer without a length; after a reset a part of
    the answer is missing.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark an answer that a reset cut off."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"the connection was reset: {exc!r}"))
        super().connection_lost(exc)


class OneShotConnector(TCPConnector):
    """Hands out one connection per exchange, so that a request is never sent again.

    :param options: options of ``TCPConnector``
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The base class makes protocols through this function only.
        self._factory = cast(
            "partial[ResponseHandler]",
            partial(ServerProtocol, loop=asyncio.get_running_loop()),
        )

    #: Exchanges that have a connection.
    in_use = 0
    #: Set while ``wait_until_unused`` waits.
    unused: asyncio.Event | None = None

    async def connect_for(
        self, exchange: Exchange, request: ClientRequest, timeout: ClientTimeout
    ) -> Connection:
        """Return a connection for an exchange whose request may be sent now.

        :raises AnswerLostError: when the exchange already had a connection
        """
        if exchange.has_connection:
            raise AnswerLostError("the connection broke before the answer")
        try:
            connection = await self._clean(request, timeout)
            try:
                exchange.before_sending(request.headers)
            except BaseException:
                connection.release()
                raise
        except BaseException:
            exchange.is_unsent = True
            raise
        exchange.has_connection = True
        self.in_use += 1
        connection.add_callback(self._returned)
        return connection

    async def wait_until_unused(self) -> None:
        """Return when no exchange has a connection."""
        if self.in_use:
            self.unused = asyncio.Event()
            await self.unused.wait()

    def _returned(self) -> None:
        self.in_use -= 1
        if self.unused is not None and not self.in_use:
            self.unused.set()

    async def _clean(self, request: ClientRequest, timeout: ClientTimeout) -> Connection:
        """Return a connection on which nothing arrived since its last exchange.

        Bytes after an answer would be taken for the answer to the next request.
        """
        while True:
            connection = await self.connect(request, [], timeout)
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()
