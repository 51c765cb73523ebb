"""A worker in trouble: an answer comes a second time, where the next answer is expected."""

from __future__ import annotations

from typing import TYPE_CHECKING

from review.worker import Worker

if TYPE_CHECKING:
    import asyncio

    from aiohttp import web

#: The worker's answer to a grant, as on the wire.
GRANT_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
#: Its answer to a release.
RELEASE_ANSWER = b"HTTP/1.1 200 OK\r\nMedlarpass-Handover: %s\r\nContent-Length: 0\r\n\r\n"
#: Largest share of the answers that come a second time, as ``garble`` with ``extra late`` in the
#: site files.
EXTRA_SHARE = 0.03


class ExtraAnswerWorker(Worker):
    """Sends a second copy of its last answer on a connection once a release follows there."""

    in_trouble = False
    #: Answers while in trouble, and how many of them came a second time.
    answers = 0
    extra_answers = 0

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        #: The last answer on each connection from control.
        self.last_answers: dict[asyncio.BaseTransport, bytes] = {}

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """See :class:`Worker`."""
        response = await super().handle_request(request)
        self.answers += self.in_trouble
        return response

    async def handle_grant(self, request: web.Request) -> web.StreamResponse:
        """See :class:`Worker`."""
        response = await super().handle_grant(request)
        self.answers += self.in_trouble
        if request.transport is not None and response.status == 200:
            self.last_answers[request.transport] = GRANT_ANSWER
        return response

    async def handle_release(self, request: web.Request) -> web.StreamResponse:
        """See :class:`Worker`."""
        transport = request.transport
        assert transport is not None
        last_answer = self.last_answers.pop(transport, None)
        is_within_share = self.extra_answers + 1 <= EXTRA_SHARE * self.answers
        if self.in_trouble and last_answer and is_within_share:
            self.extra_answers += 1
            self.record.add("an answer once more", worker=self.identity, answer=repr(last_answer))
            transport.write(last_answer)
        response = await super().handle_release(request)
        self.answers += self.in_trouble
        handover = response.headers.get("Medlarpass-Handover", "")
        self.last_answers[transport] = RELEASE_ANSWER % handover.encode()
        return response
