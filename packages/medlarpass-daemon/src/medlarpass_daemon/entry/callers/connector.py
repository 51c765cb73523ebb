"""Connections to one server."""

from __future__ import annotations

import asyncio

from contextvars import ContextVar
from typing import TYPE_CHECKING

from aiohttp import TCPConnector

from medlarpass_daemon.entry.callers.exceptions import AnswerLostError

if TYPE_CHECKING:
    from aiohttp import ClientRequest
    from aiohttp import ClientTimeout
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

    from medlarpass_daemon.entry.callers.exchange import Exchange

EXCHANGE: ContextVar[Exchange] = ContextVar("exchange")


class OneShotConnector(TCPConnector):
    """Hands out one connection per exchange, so that aiohttp can't send a request again.

    aiohttp resends idempotent requests when a reused connection breaks, and has only a private
    switch against it. A resend needs a second connection, which is refused here.
    """

    #: Exchanges that have a connection.
    in_use = 0
    #: Set while ``wait_until_unused`` waits.
    unused: asyncio.Event | None = None

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Return a connection for the exchange of the running context.

        :raises AnswerLostError: when the exchange already had a connection
        """
        exchange = EXCHANGE.get()
        if exchange.has_connection:
            raise AnswerLostError("the connection broke before the answer")
        try:
            connection = await self._clean(req, traces, timeout)
            try:
                exchange.before_sending(req.headers)
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

    async def _clean(
        self, req: ClientRequest, traces: list[Trace], timeout: ClientTimeout
    ) -> Connection:
        """Return a connection on which nothing arrived since its last exchange.

        Bytes after an answer would be taken for the answer to the next request.
        """
        while True:
            connection = await super().connect(req, traces, timeout)
            protocol = connection.protocol
            if protocol is not None and not protocol.should_close:
                return connection
            connection.close()
