"""Request that is written to a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import ClientRequest
from multidict import CIMultiDict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from aiohttp.typedefs import LooseHeaders

#: Headers that aiohttp would add although the caller did not send them.
AUTO_HEADERS: CIMultiDict[None] = CIMultiDict(
    dict.fromkeys(("Accept", "Accept-Encoding", "Content-Type", "User-Agent"))
)


class ServerRequest(ClientRequest):
    """A request that is written with the given headers, which are not copied."""

    def update_headers(self, headers: LooseHeaders | None) -> None:
        """Use the headers as given; add ``Host``, which HTTP/1.0 callers may omit."""
        assert isinstance(headers, CIMultiDict)
        self.headers = headers
        if "Host" not in headers:
            headers["Host"] = self.url.host_port_subcomponent or ""

    def update_auto_headers(self, skip_auto_headers: Iterable[str] | None) -> None:
        """Add no headers that the caller did not send."""
        self._skip_auto_headers = AUTO_HEADERS
