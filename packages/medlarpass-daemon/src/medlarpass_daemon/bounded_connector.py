"""HTTP client connections that bound what a response may use of memory."""

from __future__ import annotations

import asyncio

from functools import partial
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import aiohttp

from aiohttp.client_proto import ResponseHandler

from medlarpass_daemon.events import RESPONSE_TOO_LARGE

if TYPE_CHECKING:
    from aiohttp.connector import Connection

#: Maximum size of the response to one call, with its head and everything else on the connection.
MAX_RESPONSE_BYTES = 64 * 1024


class BoundedProtocol(ResponseHandler):
    """Aborts a connection on which a call receives too many bytes.

    The parser bounds single lines, but neither their number nor the body.
    """

    received_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Process bytes of a response unless there are too many."""
        self.received_bytes += len(data)
        if self.received_bytes <= MAX_RESPONSE_BYTES:
            super().data_received(data)
            return
        if self.transport is not None and not self.transport.is_closing():
            RESPONSE_TOO_LARGE.log(
                peer=str(self.transport.get_extra_info("peername")), limit=MAX_RESPONSE_BYTES
            )
            self.set_exception(aiohttp.ClientPayloadError("the response is too large"))
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Provides connections that bound the response to each call.

    :param options: options of ``TCPConnector``
    """

    #: Protocol of the connections.
    protocol_class = BoundedProtocol

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # The base class creates protocols only through this factory.
        self._factory = cast(
            "partial[ResponseHandler]",
            partial(self.protocol_class, loop=asyncio.get_running_loop()),
        )

    async def connect(
        self, req: aiohttp.ClientRequest, traces: list[Any], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Return a connection for a call, with nothing received for it yet."""
        connection = await super().connect(req, traces, timeout)
        cast("BoundedProtocol", connection.protocol).received_bytes = 0
        return connection
