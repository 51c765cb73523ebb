"""Response of a server to one exchange."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import AnswerLostError
from medlarpass_daemon.entry.callers.exceptions import DeadlineOutcomeUnknownError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import ClientResponse
    from multidict import CIMultiDictProxy

    from medlarpass import MedlarpassError
    from medlarpass_daemon.entry.callers.exchange import Exchange


class ServerResponse:
    """Status, headers and body of a server's response.

    :param http_response: aiohttp response whose headers have arrived
    :param exchange: exchange that the response belongs to
    """

    __slots__ = ("exchange", "http_response")

    def __init__(self, http_response: ClientResponse, exchange: Exchange) -> None:
        self.http_response = http_response
        self.exchange = exchange

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.http_response.status

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Headers as received."""
        return self.http_response.headers

    @property
    def is_complete(self) -> bool:
        """Whether the complete body was read."""
        content = self.http_response.content
        return content.at_eof() and content.exception() is None

    async def prefetch(self, limit: int) -> bytes:
        """Read until the end of the body or until at least ``limit`` bytes are read.

        :raises AnswerLostError: when the connection ends within the body
        :raises DeadlineOutcomeUnknownError: when the deadline passes
        """
        content = self.http_response.content
        if content.is_eof() and content.exception() is None:
            # The complete body is buffered, as with most responses, so no timeout is needed.
            return content.read_nowait(-1)
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(max(self.exchange.remaining, 0)):
                while size < limit and not content.at_eof():
                    parts.append(await content.readany())
                    size += len(parts[-1])
            self._check_complete()
        except Exception as error:
            self.close()
            raise _to_typed_error(error) from error
        except BaseException:
            self.close()
            raise
        return b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the rest of the body.

        :raises AnswerLostError: when the connection ends within the body
        """
        content = self.http_response.content
        try:
            while not content.at_eof():
                chunk = await content.readany()
                if chunk:
                    yield chunk
            self._check_complete()
        except Exception as error:
            self.close()
            raise _to_typed_error(error) from error

    def _check_complete(self) -> None:
        """Raise the error of a body that ended because the connection was reset."""
        error = self.http_response.content.exception()
        if error is not None:
            raise error

    def close(self) -> None:
        """End the exchange; its connection is closed unless the response is complete."""
        self.http_response.close()


def _to_typed_error(error: Exception) -> MedlarpassError:
    if isinstance(error, TimeoutError):
        return DeadlineOutcomeUnknownError("the deadline passed before the response was complete")
    return AnswerLostError(f"the response is incomplete: {type(error).__name__}")
