"""Memory that the bodies of requests may use together."""

from __future__ import annotations

import asyncio

from collections import deque

from medlarpass_daemon.entry.callers.exceptions import BodiesFullError
from medlarpass_daemon.settings.entry import LARGE_BODY_RATIO

#: Largest body that may use all of the memory; larger ones leave a part to these.
SMALL_BODY_BYTES = 64 * 1024


class WaitingBody:
    """A body that waits for memory.

    :param size: bytes that it needs
    """

    __slots__ = ("granted", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.granted = asyncio.Event()


class BodyBudget:
    """Grants memory to buffered bodies in the order of their arrival.

    A body waits without being read, so that its caller stops sending. No more of them wait than
    the memory can hold after those that have it; others are refused at once.

    :param total: bytes for all bodies together
    """

    __slots__ = ("held_bytes", "total", "waiting")

    def __init__(self, total: int) -> None:
        self.total = total
        self.held_bytes = 0
        self.waiting: deque[WaitingBody] = deque()

    async def reserve(self, size: int, timeout: float) -> None:
        """Reserve memory for a whole body.

        :param size: its length in bytes
        :param timeout: longest time to wait in seconds
        :raises BodiesFullError: there was not enough memory in time
        """
        is_small = size <= SMALL_BODY_BYTES
        if self._has_room(size, size) and (is_small or not self.waiting):
            self.held_bytes += size
            return
        waiting_bytes = sum(body.size for body in self.waiting)
        if is_small or waiting_bytes + size > self._limit(size):
            raise BodiesFullError("too many large requests are in progress")
        body = WaitingBody(size)
        self.waiting.append(body)
        try:
            async with asyncio.timeout(timeout):
                await body.granted.wait()
        except BaseException as error:
            if body.granted.is_set():
                self.release(size)
            else:
                self.waiting.remove(body)
            if isinstance(error, TimeoutError):
                raise BodiesFullError("too many large requests are in progress") from error
            raise

    def extend(self, size: int, body_size: int) -> None:
        """Reserve memory for a part of a body whose length is not known.

        It does not wait, since bodies that have memory could wait for each other.

        :param size: length of the part in bytes
        :param body_size: length of the body up to the end of the part
        :raises BodiesFullError: there is not enough memory
        """
        if not self._has_room(size, body_size):
            raise BodiesFullError("too many large requests are in progress")
        self.held_bytes += size

    def release(self, size: int) -> None:
        """Return memory, and grant it to the bodies that wait."""
        self.held_bytes -= size
        while self.waiting and self._has_room(self.waiting[0].size, self.waiting[0].size):
            body = self.waiting.popleft()
            self.held_bytes += body.size
            body.granted.set()

    def _has_room(self, size: int, body_size: int) -> bool:
        return self.held_bytes + size <= self._limit(body_size)

    def _limit(self, body_size: int) -> int:
        return self.total if body_size <= SMALL_BODY_BYTES else int(self.total * LARGE_BODY_RATIO)
