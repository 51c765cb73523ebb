"""Requests of callers, one class per request class."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from medlarpass.tables import RequestClass
from medlarpass_daemon.entry.callers.exceptions import CallerGoneError

if TYPE_CHECKING:
    from aiohttp import web

    from medlarpass import Clock
    from medlarpass.tables import Pool
    from medlarpass.tables import Route
    from medlarpass_daemon.entry.callers.caller_body import CallerBody
    from medlarpass_daemon.entry.callers.interfaces import Target


class CallerRequest:
    """A request whose route is known.

    :param web: the request as received
    :param request_id: id given by the caller or created
    :param path: path with query, as sent by the caller
    :param route: route of the request
    :param pool: pool of the route
    :param key: key of the request, if its route has one
    :param deadline: clock reading at which the response is due
    :param body: body of the request
    :param clock: source of time
    :param revision: revision of the configuration that contains route and pool
    """

    __slots__ = (
        "attempts",
        "body",
        "clock",
        "deadline",
        "is_caller_gone",
        "is_truncated",
        "key",
        "may_have_run",
        "path",
        "pool",
        "request_id",
        "revision",
        "route",
        "started_at",
        "target",
        "web",
    )
    #: Whether the response is read to its end even if the caller disconnects.
    reads_full_response: ClassVar[bool] = False

    def __init__(
        self,
        web: web.BaseRequest,
        request_id: str,
        path: str,
        route: Route,
        pool: Pool,
        key: str | None,
        deadline: float,
        body: CallerBody,
        clock: Clock,
        revision: int,
    ) -> None:
        self.web = web
        self.request_id = request_id
        self.path = path
        self.route = route
        self.pool = pool
        self.key = key
        self.deadline = deadline
        self.body = body
        self.clock = clock
        self.revision = revision
        #: Clock reading at the arrival of the request.
        self.started_at = clock.now()
        #: Number of attempts started so far, and the server of the latest one.
        self.attempts = 0
        self.target: Target | None = None
        #: Whether the outcome of an attempt is unknown.
        self.may_have_run = False
        #: Whether the response was truncated after a part of it was sent to the caller.
        self.is_truncated = False
        #: Whether the caller closed its connection.
        self.is_caller_gone = False

    @property
    def remaining(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - self.clock.now()

    @property
    def owned_key(self) -> str | None:
        """The key, if the pool assigns each key to one server."""
        return self.key if self.pool.owned else None

    def check_caller_connected(self) -> None:
        """Check that the caller still waits for the response.

        :raises CallerGoneError: when the caller closed its connection
        """
        if self.is_caller_gone:
            raise CallerGoneError("the caller closed its connection")


class EnquiryRequest(CallerRequest):
    """An idempotent request for a key."""

    __slots__ = ()


class OrderRequest(CallerRequest):
    """A request that runs at most once."""

    __slots__ = ()
    reads_full_response = True


class DownloadRequest(CallerRequest):
    """An idempotent request with a large response."""

    __slots__ = ()


class UploadRequest(OrderRequest):
    """An order whose body is streamed if it is too large to buffer."""

    __slots__ = ()


REQUEST_TYPES: dict[RequestClass, type[CallerRequest]] = {
    RequestClass.ENQUIRY: EnquiryRequest,
    RequestClass.ORDER: OrderRequest,
    RequestClass.DOWNLOAD: DownloadRequest,
    RequestClass.UPLOAD: UploadRequest,
}
