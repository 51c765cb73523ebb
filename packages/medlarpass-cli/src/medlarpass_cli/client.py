"""HTTP client for the operators' interface of any control replica."""

from __future__ import annotations

import asyncio
import json
import ssl

from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from yarl import URL

from medlarpass_cli.exceptions import ConflictError
from medlarpass_cli.exceptions import ControlUnreachableError
from medlarpass_cli.exceptions import RefusedError
from medlarpass_cli.exceptions import ResultUnknownError
from medlarpass_cli.exceptions import UsageError

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence
    from pathlib import Path

#: Rounds over all replicas and the pause between them, in seconds: an election takes about 1 s.
ROUNDS = 4
PAUSE = 0.5
#: Seconds for a new connection.
CONNECT_TIMEOUT = 2.0
CHANGE_ID_HEADER = "Idempotency-Key"


class ControlClient:
    """Calls the first control replica that answers.

    :param urls: base URLs of control replicas
    :param token: bearer token, None for unauthenticated use
    :param timeout: seconds for one exchange
    :param authority: certificates that HTTPS servers are checked against, None for the system's
    :raises UsageError: when there is no URL, or one or the authority can't be used
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str | None,
        timeout: float,
        authority: Path | None = None,
    ) -> None:
        if not urls:
            raise UsageError("expected at least one --control URL")
        self.urls = [_checked_url(url) for url in urls]
        self.token = token
        self.tls = _tls_context(authority)
        self.timeout = aiohttp.ClientTimeout(
            total=timeout, sock_connect=min(CONNECT_TIMEOUT, timeout)
        )

    async def read(self, path: str, query: Mapping[str, str] | None = None) -> dict[str, Any]:
        """Return the answer to a reading call.

        :param path: path with leading slash
        :param query: query parameters
        :raises RefusedError: when a replica refuses the call
        :raises ControlUnreachableError: when no replica can answer
        """
        try:
            return await self._first_answer("GET", path, query or {}, None, None)
        except ResultUnknownError as error:
            raise ControlUnreachableError(error.message) from error

    async def change(
        self, method: str, path: str, body: Mapping[str, Any], change_id: str
    ) -> dict[str, Any]:
        """Send a change and return the answer; it keeps its change id when resent.

        :param method: ``PUT``, ``POST`` or ``DELETE``
        :param path: path with leading slash
        :param body: JSON body
        :param change_id: id that makes a repeat harmless
        :raises ConflictError: when an expected version is not the present one
        :raises RefusedError: when a replica refuses the change
        :raises ControlUnreachableError: when it certainly was not run
        :raises ResultUnknownError: when it may have been run
        """
        try:
            return await self._first_answer(method, path, {}, body, change_id)
        except ResultUnknownError as error:
            raise ResultUnknownError(
                f"{error.message}; repeat it with --change-id {change_id} to learn its result"
            ) from error

    async def _first_answer(
        self,
        method: str,
        path: str,
        query: Mapping[str, str],
        body: Mapping[str, Any] | None,
        change_id: str | None,
    ) -> dict[str, Any]:
        headers = {} if self.token is None else {"Authorization": f"Bearer {self.token}"}
        if change_id is not None:
            headers[CHANGE_ID_HEADER] = change_id
        unknown: ResultUnknownError | None = None
        unreachable = ControlUnreachableError("no control replica was asked")
        connector = aiohttp.TCPConnector(ssl=self.tls)
        async with aiohttp.ClientSession(
            connector=connector, timeout=self.timeout, headers=headers
        ) as session:
            for number in range(ROUNDS * len(self.urls)):
                if number and number % len(self.urls) == 0:
                    await asyncio.sleep(PAUSE)
                url = self.urls[number % len(self.urls)]
                try:
                    return await _exchange(session, method, url, path, query, body)
                except ControlUnreachableError as error:
                    unreachable = error
                except ResultUnknownError as error:
                    unknown = error
                except RefusedError as error:
                    # A replica that refuses a call by itself knows nothing of the one sent before.
                    if unknown is None or error.answered_by_log:
                        raise
        raise unknown or unreachable


def _tls_context(authority: Path | None) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=authority)
    except OSError as error:
        raise UsageError(f"--ca {authority}: expected certificates ({error})") from error


async def _exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: URL,
    path: str,
    query: Mapping[str, str],
    body: Mapping[str, Any] | None,
) -> dict[str, Any]:
    try:
        async with session.request(
            method,
            url.joinpath(path.lstrip("/"), encoded=True),
            params=query,
            json=body,
            allow_redirects=False,
        ) as answer:
            content = await answer.read()
            status = answer.status
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise ControlUnreachableError(f"{url}: no connection ({error})") from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ResultUnknownError(f"{url}: no answer ({type(error).__name__})") from error
    return _checked_answer(url, status, content)


def _checked_answer(url: URL, status: int, content: bytes) -> dict[str, Any]:
    try:
        document = json.loads(content)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise ResultUnknownError(f"{url}: status {status} without a JSON object")
    if status == 200:
        return document
    code = str(document.get("code"))
    message = f"{url}: {code}: {document.get('message')}"
    if status < 500:
        by_log = "change_id" in document
        refusal = ConflictError if code == "version_conflict" else RefusedError
        raise refusal(message, code, by_log)
    if document.get("outcome") == "not-run":
        raise ControlUnreachableError(message)
    raise ResultUnknownError(message)


def _checked_url(text: str) -> URL:
    try:
        url = URL(text)
    except ValueError as error:
        raise UsageError(f"--control {text}: {error}") from error
    if url.scheme not in ("http", "https") or not url.host or url.query_string or url.fragment:
        raise UsageError(f"--control {text}: expected http://HOST:PORT")
    return url
