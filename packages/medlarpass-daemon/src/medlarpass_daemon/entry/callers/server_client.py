"""Sends requests to servers and classifies their failures."""

from __future__ import annotations

import asyncio
import re

from typing import TYPE_CHECKING
from urllib.parse import SplitResult

from aiohttp import ClientTimeout
from yarl import URL

from medlarpass import MedlarpassError
from medlarpass.dispatch import ConnectionBudget
from medlarpass_daemon.entry.callers.connector import NoResendConnector
from medlarpass_daemon.entry.callers.exceptions import AnswerLostError
from medlarpass_daemon.entry.callers.exceptions import CrossedAnswerError
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import DeadlineOutcomeUnknownError
from medlarpass_daemon.entry.callers.exceptions import InvalidStatusError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServerUnreachableError
from medlarpass_daemon.entry.callers.server_request import ServerRequest
from medlarpass_daemon.entry.callers.server_response import ServerResponse

if TYPE_CHECKING:
    from typing import TypeAlias

    from aiohttp import ClientResponse

    from medlarpass_daemon.entry.callers.exchange import Exchange
    from medlarpass_daemon.entry.callers.interfaces import Target
    from medlarpass_daemon.entry.callers.load_recorder import LoadRecorder
    from medlarpass_daemon.entry.callers.server_notices import ServerNotices
    from medlarpass_daemon.settings import EntrySettings

    Address: TypeAlias = tuple[int, str, int]

#: Time for which an idle connection is kept. It is short because a server that closes the
#: connection during a write leaves an order with an unknown outcome.
KEEPALIVE_SECONDS = 4.0
BODYLESS_STATUSES = frozenset({204, 304})
#: Statuses of final responses in RFC 9110, section 15. aiohttp skips informational responses except
#: 101, which answers a request for another protocol; the entry never sends one.
FINAL_STATUSES = range(200, 600)
SWITCHING_PROTOCOLS_STATUS = 101
#: Bytes that no header value may have (RFC 9110, section 5.5).
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


class ServerClient:
    """Sends requests through one connection pool per server.

    :param settings: settings of the entry
    :param notices: what the servers have said in their responses
    :param load_recorder: records the loads that servers report; None to ignore them
    """

    __slots__ = (
        "closing_tasks",
        "connection_budget",
        "connectors",
        "load_recorder",
        "notices",
        "settings",
        "timeout",
    )

    def __init__(
        self,
        settings: EntrySettings,
        notices: ServerNotices,
        load_recorder: LoadRecorder | None = None,
    ) -> None:
        self.settings = settings
        self.notices = notices
        self.load_recorder = load_recorder
        self.connection_budget = ConnectionBudget(max(len(settings.peers), 1))
        self.connectors: dict[str, tuple[Address, NoResendConnector]] = {}
        self.timeout = ClientTimeout(total=None, sock_connect=settings.connect_timeout)
        self.closing_tasks: set[asyncio.Task[None]] = set()

    async def send(self, exchange: Exchange) -> ServerResponse:
        """Send a request and return the response once its headers have arrived.

        The outcome of an error states what is known about the execution of the request.

        :raises ServerUnreachableError: no connection; not run
        :raises ServerNotAcceptingError: the server leaves or wants no requests now; not run
        :raises ServerRefusedError: the server refused before running the request; not run
        :raises DeadlineExceededError: the deadline passed before a byte was sent; not run
        :raises DeadlineOutcomeUnknownError: the deadline passed later; unknown
        :raises AnswerLostError: no complete headers arrived; unknown
        :raises InvalidStatusError: the status is not one of a final response; unknown
        :raises CrossedAnswerError: the response belongs to another request; unknown
        """
        if exchange.remaining <= 0:
            raise DeadlineExceededError("the deadline passed before the request was sent")
        connector = self._connector(exchange.target)
        try:
            async with asyncio.timeout(exchange.remaining) as timeout:
                response = await self._send(exchange, connector)
        except MedlarpassError:
            raise
        except Exception as error:
            raise _classify_error(error, exchange, timeout.expired()) from error
        self._check_response(response, exchange)
        return ServerResponse(response, exchange)

    async def _send(self, exchange: Exchange, connector: NoResendConnector) -> ClientResponse:
        """Write the request to one connection and read the headers of the response.

        No aiohttp session is used, because it would resend idempotent requests when a reused
        connection breaks.
        """
        request = ServerRequest(
            exchange.method,
            _url_for(exchange),
            headers=exchange.headers,
            data=exchange.body,
            loop=asyncio.get_running_loop(),
        )
        connection = await connector.connect_for(
            exchange, request, self.timeout, self.notices.check
        )
        protocol = connection.protocol
        assert protocol is not None
        try:
            protocol.set_response_params(
                skip_payload=exchange.method == "HEAD",
                read_until_eof=True,
                auto_decompress=False,
                read_bufsize=self.settings.buffer,
            )
            response = await request.send(connection)
            try:
                return await response.start(connection)
            except BaseException:
                response.close()
                raise
        except BaseException:
            connection.close()
            raise

    def _check_response(self, response: ClientResponse, exchange: Exchange) -> None:
        """Reject a response that does not belong to this request or may be incomplete.

        A response delimited only by the end of the connection looks complete even if the server was
        killed while sending it.
        """
        protocol = exchange.protocol
        assert protocol is not None
        if response.status not in FINAL_STATUSES:
            # Whatever else the response says is not trusted, such as that the request was not run.
            response.close()
            protocol.force_close()
            if response.status == SWITCHING_PROTOCOLS_STATUS:
                raise AnswerLostError("the server changed protocols without being asked")
            raise InvalidStatusError(f"the response has the status {response.status:03}")
        if _has_control_characters(response):
            response.close()
            protocol.force_close()
            raise AnswerLostError("the response has a control character in its head")
        dialect = exchange.dialect
        has_id = dialect.has_request_id(response.headers)
        if not has_id and dialect.servers_echo_ids and protocol.exchange_count > 1:
            response.close()
            protocol.force_close()
            raise AnswerLostError("the response has no id and may answer an earlier request")
        try:
            dialect.check_response(response.status, response.headers, exchange.request_id)
        except CrossedAnswerError:
            response.close()
            raise
        except ServerRefusedError:
            self._record_notices(response, exchange)
            if has_id:
                protocol.record_refusal(exchange.request_id)
            else:
                # A late copy could not be told from the refusal of the next request.
                protocol.force_close()
            response.release()
            raise
        except MedlarpassError:
            self._record_notices(response, exchange)
            response.close()
            raise
        self._record_notices(response, exchange)
        if not dialect.accepts_unframed and not _is_framed(response):
            response.close()
            raise AnswerLostError("the response has neither Content-Length nor chunked encoding")

    def _record_notices(self, response: ClientResponse, exchange: Exchange) -> None:
        dialect, received = exchange.dialect, response.headers
        self.notices.record(
            exchange.target,
            dialect.is_leaving(received),
            dialect.pause_of(response.status, received),
        )
        if self.load_recorder is not None:
            exchange.load = self.load_recorder.record(exchange.target, dialect.load_of(received))

    def forget(self, identity: str) -> None:
        """Close the idle connections to a server that left.

        Exchanges in flight continue; their connections close when they end.
        """
        existing = self.connectors.pop(identity, None)
        if existing is not None:
            self._close_when_unused(existing[1])

    async def close(self) -> None:
        """Close all connections."""
        for _, connector in self.connectors.values():
            await connector.close()
        self.connectors.clear()
        for task in list(self.closing_tasks):
            task.cancel()
        await asyncio.gather(*self.closing_tasks, return_exceptions=True)

    def _connector(self, target: Target) -> NoResendConnector:
        address = (target.incarnation, target.ip, target.port)
        existing = self.connectors.get(target.identity)
        if existing is not None and existing[0] == address:
            return existing[1]
        self.forget(target.identity)
        connector = NoResendConnector(
            limit=self._connection_limit(target),
            keepalive_timeout=KEEPALIVE_SECONDS,
            use_dns_cache=False,
        )
        self.connectors[target.identity] = (address, connector)
        return connector

    def _connection_limit(self, target: Target) -> int:
        share = self.connection_budget.share(target.connections)
        return min(self.settings.connections_per_server, share)

    def _close_when_unused(self, connector: NoResendConnector) -> None:
        task = asyncio.get_running_loop().create_task(_close_when_idle(connector))
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)


async def _close_when_idle(connector: NoResendConnector) -> None:
    try:
        await connector.wait_until_unused()
    finally:
        await connector.close()


def _url_for(exchange: Exchange) -> URL:
    target = exchange.target
    host = f"[{target.ip}]" if ":" in target.ip else target.ip
    path, _, query = exchange.path.partition("?")
    # Building the URL from its parts avoids parsing.
    return URL(SplitResult("http", f"{host}:{target.port}", path, query, ""), encoded=True)


def _classify_error(error: Exception, exchange: Exchange, is_expired: bool) -> MedlarpassError:
    if exchange.is_unsent:
        if is_expired:
            return DeadlineExceededError("the deadline passed while waiting for a connection")
        return ServerUnreachableError(f"no connection to {exchange.target.identity}")
    if is_expired:
        return DeadlineOutcomeUnknownError("the deadline passed before the response arrived")
    return AnswerLostError(f"the connection broke before the response: {type(error).__name__}")


def _has_control_characters(response: ClientResponse) -> bool:
    """Return whether the head has characters that no header may have.

    The parser accepts them, but they can't be written to the caller.
    """
    if CONTROL_CHARACTER.search((response.reason or "").encode("utf-8", "surrogateescape")):
        return True
    return any(CONTROL_CHARACTER.search(value) for _, value in response.raw_headers)


def _is_framed(response: ClientResponse) -> bool:
    if response.method == "HEAD" or response.status in BODYLESS_STATUSES:
        return True
    coding = response.headers.get("Transfer-Encoding", "")
    return "Content-Length" in response.headers or coding.lower() == "chunked"
