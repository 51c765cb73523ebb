"""Headers and error responses used between callers, entries and servers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from medlarpass import Outcome
from medlarpass_daemon.entry.callers import headers
from medlarpass_daemon.entry.callers.error_response import SERVICE_UNAVAILABLE_STATUS
from medlarpass_daemon.entry.callers.error_response import error_response
from medlarpass_daemon.entry.callers.exceptions import CrossedAnswerError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError

if TYPE_CHECKING:
    from aiohttp import web
    from multidict import CIMultiDict
    from multidict import CIMultiDictProxy

    from medlarpass import MedlarpassError
    from medlarpass_daemon.entry.callers.interfaces import Target


class Dialect(Protocol):
    """Conventions for headers and error responses between callers, entries and servers."""

    @property
    def accepts_unframed(self) -> bool:
        """Whether the end of a connection may delimit a server's response."""
        ...

    @property
    def servers_echo_ids(self) -> bool:
        """Whether servers echo the request id in all their responses."""
        ...

    @property
    def counts_reroutes(self) -> bool:
        """Whether an attempt that a server refused because the key moved counts as a retry."""
        ...

    def request_id_of(self, received: CIMultiDictProxy[str]) -> str:
        """Return the caller's request id, or a new one."""
        ...

    def deadline_of(self, received: CIMultiDictProxy[str]) -> float | None:
        """Return the caller's own deadline in seconds, if it gave one.

        :raises InvalidHeaderError: when it is not valid
        """
        ...

    def idempotency_key_of(self, received: CIMultiDictProxy[str]) -> str | None:
        """Return the idempotency key, if there is one.

        :raises InvalidHeaderError: when it is not valid
        """
        ...

    def request_headers(
        self,
        received: CIMultiDictProxy[str],
        request_id: str,
        caller: str,
        scheme: str,
        target: Target,
    ) -> CIMultiDict[str]:
        """Return the headers of a request to a server."""
        ...

    def set_deadline(self, sent: CIMultiDict[str], seconds: float) -> None:
        """Set the header that tells a server the remaining time."""
        ...

    def has_request_id(self, received: CIMultiDictProxy[str]) -> bool:
        """Return whether a response of a server tells the request that it belongs to."""
        ...

    def is_leaving(self, received: CIMultiDictProxy[str]) -> bool:
        """Return whether a response says that its server leaves."""
        ...

    def pause_of(self, status: int, received: CIMultiDictProxy[str]) -> str | None:
        """Return for how many seconds the server wants no requests, as it wrote them."""
        ...

    def load_of(self, received: CIMultiDictProxy[str]) -> str | None:
        """Return the load that a response reports, as the server wrote it; None without one.

        It consists of running and waiting requests, slots and optionally the percentage of the
        usual time that work takes now, separated by commas.
        """
        ...

    def check_response(self, status: int, received: CIMultiDictProxy[str], request_id: str) -> None:
        """Check that the headers belong to a server's response to a request.

        :raises CrossedAnswerError: the response belongs to another request
        :raises ServerRefusedError: the server did not run the request
        :raises AnswerLostError: the response does not come from a server
        """
        ...

    def response_headers(
        self, received: CIMultiDictProxy[str], request_id: str
    ) -> CIMultiDict[str]:
        """Return the headers of a response to a caller."""
        ...

    def error_response(
        self, error: MedlarpassError, request_id: str, may_have_run: bool = False
    ) -> web.Response:
        """Return the response for an error.

        :param may_have_run: whether an earlier attempt of the request may have run
        """
        ...


class DefaultDialect:
    """Default conventions, as described in ``docs/server-interface.md``."""

    __slots__ = ()

    accepts_unframed = False
    servers_echo_ids = False
    counts_reroutes = False

    def request_id_of(self, received: CIMultiDictProxy[str]) -> str:
        """See :class:`Dialect`."""
        return headers.request_id_of(received)

    def deadline_of(self, received: CIMultiDictProxy[str]) -> float | None:
        """See :class:`Dialect`."""
        return headers.deadline_of(received)

    def idempotency_key_of(self, received: CIMultiDictProxy[str]) -> str | None:
        """See :class:`Dialect`."""
        return headers.idempotency_key_of(received)

    def request_headers(
        self,
        received: CIMultiDictProxy[str],
        request_id: str,
        caller: str,
        scheme: str,
        target: Target,
    ) -> CIMultiDict[str]:
        """See :class:`Dialect`."""
        request_headers = headers.request_headers(received, request_id, caller, scheme)
        if target.shard is not None and target.fence is not None:
            request_headers[headers.SHARD] = str(target.shard)
            request_headers[headers.FENCE] = str(target.fence)
        return request_headers

    def set_deadline(self, sent: CIMultiDict[str], seconds: float) -> None:
        """See :class:`Dialect`."""
        sent[headers.DEADLINE] = str(max(int(seconds * 1000), 1))

    def has_request_id(self, received: CIMultiDictProxy[str]) -> bool:
        """See :class:`Dialect`."""
        return headers.REQUEST_ID in received

    def is_leaving(self, received: CIMultiDictProxy[str]) -> bool:
        """See :class:`Dialect`."""
        return received.get(headers.LEAVING) == "1"

    def pause_of(self, status: int, received: CIMultiDictProxy[str]) -> str | None:
        """See :class:`Dialect`."""
        return received.get(headers.NOT_BEFORE) if status == SERVICE_UNAVAILABLE_STATUS else None

    def load_of(self, received: CIMultiDictProxy[str]) -> str | None:
        """See :class:`Dialect`."""
        return None

    def check_response(self, status: int, received: CIMultiDictProxy[str], request_id: str) -> None:
        """See :class:`Dialect`."""
        echoed = received.get(headers.REQUEST_ID)
        if echoed is not None and echoed != request_id:
            raise CrossedAnswerError("the response belongs to another request")
        if received.get(headers.OUTCOME) == Outcome.NOT_RUN.value:
            raise ServerRefusedError(received.get(headers.REFUSAL, "no reason given"))

    def response_headers(
        self, received: CIMultiDictProxy[str], request_id: str
    ) -> CIMultiDict[str]:
        """See :class:`Dialect`."""
        return headers.response_headers(received, request_id)

    def error_response(
        self, error: MedlarpassError, request_id: str, may_have_run: bool = False
    ) -> web.Response:
        """See :class:`Dialect`."""
        return error_response(error, request_id, may_have_run)
