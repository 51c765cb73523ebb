"""The answer of a server to one exchange."""

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


class Answer:
    """Status, headers and body of a server's answer.

    :param response: response whose headers have arrived
    :param exchange: the exchange it belongs to
    """

    __slots__ = ("exchange", "response")

    def __init__(self, response: ClientResponse, exchange: Exchange) -> None:
        self.response = response
        self.exchange = exchange

    @property
    def status(self) -> int:
        """HTTP status."""
        return self.response.status

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Headers as received."""
        return self.response.headers

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was read."""
        content = self.response.content
        return content.at_eof() and content.exception() is None

    async def prefetch(self, limit: int) -> bytes:
        """Read until the end of the body or until at least ``limit`` bytes are read.

        :raises AnswerLostError: when the body breaks off
        :raises DeadlineOutcomeUnknownError: when the deadline passes
        """
        content = self.response.content
        if content.is_eof() and content.exception() is None:
            # The whole body is in the buffer, as with most answers; no timer is needed.
            return content.read_nowait(-1)
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(max(self.exchange.remaining, 0)):
                while size < limit and not content.at_eof():
                    parts.append(await content.readany())
                    size += len(parts[-1])
            self._check_whole()
        except Exception as error:
            self.close()
            raise _typed(error) from error
        except BaseException:
            self.close()
            raise
        return b"".join(parts)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the rest of the body.

        :raises AnswerLostError: when the body breaks off
        """
        content = self.response.content
        try:
            while not content.at_eof():
                chunk = await content.readany()
                if chunk:
                    yield chunk
            self._check_whole()
        except Exception as error:
            self.close()
            raise _typed(error) from error

    def _check_whole(self) -> None:
        """Raise the error of a body that ended because its connection was reset."""
        error = self.response.content.exception()
        if error is not None:
            raise error

    def close(self) -> None:
        """End the exchange; its connection is closed unless the answer is complete."""
        self.response.close()


def _typed(error: Exception) -> MedlarpassError:
    if isinstance(error, TimeoutError):
        return DeadlineOutcomeUnknownError("the deadline passed before the answer was complete")
    return AnswerLostError(f"the answer broke off: {type(error).__name__}")
