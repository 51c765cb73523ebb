"""A worker in trouble: it sheds part of its requests, and some of its answers come twice."""

from __future__ import annotations

import random

from typing import TYPE_CHECKING

from aiohttp import web

from review.worker import Worker

if TYPE_CHECKING:
    import asyncio

#: Share of the requests that the worker rejects, as ``srv_grey`` with ``shed`` in the site files.
SHED_SHARE = 0.45
#: Share of the answers that come a second time, as ``garble`` with ``extra late`` there.
EXTRA_SHARE = 0.03


class SheddingWorker(Worker):
    """Rejects requests as not executed; a second copy of an answer comes with the next one."""

    in_trouble = False
    #: Answers while in trouble, and how many of them came a second time.
    answers = 0
    extra_answers = 0

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.random = random.Random(27)
        #: Second copies that come once the next answer is expected, by connection.
        self.late_copies: dict[asyncio.BaseTransport, tuple[str, bytes]] = {}

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """See :class:`Worker`."""
        if not self.in_trouble:
            return await super().handle_request(request)
        transport = request.transport
        assert transport is not None
        late_copy = self.late_copies.pop(transport, None)
        if late_copy is not None:
            self.extra_answers += 1
            self.record.add("an answer once more", worker=self.identity, id=late_copy[0])
            transport.write(late_copy[1])
        attempt = request.headers.get("Medlarpass-Attempt-Id", "")
        if self.random.random() < SHED_SHARE:
            self.record.arrived(self, attempt)
            self.record.add("shed", worker=self.identity, id=attempt)
            response = web.Response(
                status=503,
                headers={"Medlarpass-Attempt-Id": attempt, "Medlarpass-Not-Executed": "1"},
            )
        else:
            response = await super().handle_request(request)  # type: ignore[assignment]
        self.answers += 1
        copies = self.extra_answers + len(self.late_copies)
        is_within_share = copies + 1 <= EXTRA_SHARE * self.answers
        if is_within_share and self.random.random() < EXTRA_SHARE:
            self.late_copies[transport] = (attempt, on_the_wire(response))
        return response


def on_the_wire(response: web.Response) -> bytes:
    """Return the bytes of an answer."""
    body = response.body if isinstance(response.body, bytes) else b""
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body
