"""HTTP client for the operators' API, which any control replica serves."""

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

#: Each call tries every replica this many times. The rounds together outlast the election of a
#: leader, which takes about 1 s.
ROUND_COUNT = 4
ROUND_INTERVAL_SECONDS = 0.5
CONNECT_TIMEOUT_SECONDS = 2.0
CHANGE_ID_HEADER = "Idempotency-Key"


class ControlClient:
    """Sends each request to the control replicas in turn until one gives a definite response.

    :param urls: base URLs of control replicas
    :param token: bearer token, None for unauthenticated use
    :param timeout: seconds for one request and its response
    :param ca_file: CA certificates that verify HTTPS servers, None for the system's
    :raises UsageError: when there is no URL, or a URL or the CA file can't be used
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str | None,
        timeout: float,
        ca_file: Path | None = None,
    ) -> None:
        if not urls:
            raise UsageError("expected at least one --control URL")
        self.urls = [_parse_url(url) for url in urls]
        self.token = token
        self.ssl_context = _create_ssl_context(ca_file)
        self.timeout = aiohttp.ClientTimeout(
            total=timeout, sock_connect=min(CONNECT_TIMEOUT_SECONDS, timeout)
        )

    async def read(self, path: str, query: Mapping[str, str] | None = None) -> dict[str, Any]:
        """Send a read request and return the response.

        :param path: path with leading slash
        :param query: query parameters
        :raises RefusedError: when a replica refuses the request
        :raises ControlUnreachableError: when no replica can serve the request
        """
        try:
            return await self._call_replicas("GET", path, query or {}, None, None)
        except ResultUnknownError as error:
            raise ControlUnreachableError(error.message) from error

    async def send_change(
        self, method: str, path: str, body: Mapping[str, Any], change_id: str
    ) -> dict[str, Any]:
        """Send a change and return the response; every retry carries the same change id.

        :param method: ``PUT``, ``POST`` or ``DELETE``
        :param path: path with leading slash
        :param body: JSON body
        :param change_id: id by which replicas recognise a retry, so that the change is applied once
        :raises ConflictError: when an expected version is not the current one
        :raises RefusedError: when a replica refuses the change
        :raises ControlUnreachableError: when the change was certainly not run
        :raises ResultUnknownError: when the change may have been run
        """
        try:
            return await self._call_replicas(method, path, {}, body, change_id)
        except ResultUnknownError as error:
            raise ResultUnknownError(
                f"{error.message}; repeat it with --change-id {change_id} to learn its result"
            ) from error

    async def _call_replicas(
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
        result_unknown: ResultUnknownError | None = None
        control_unreachable = ControlUnreachableError("no request was sent to a control replica")
        connector = aiohttp.TCPConnector(ssl=self.ssl_context)
        async with aiohttp.ClientSession(
            connector=connector, timeout=self.timeout, headers=headers
        ) as session:
            for attempt in range(ROUND_COUNT * len(self.urls)):
                if attempt and attempt % len(self.urls) == 0:
                    await asyncio.sleep(ROUND_INTERVAL_SECONDS)
                url = self.urls[attempt % len(self.urls)]
                try:
                    return await _send_request(session, method, url, path, query, body)
                except ControlUnreachableError as error:
                    control_unreachable = error
                except ResultUnknownError as error:
                    result_unknown = error
                except RefusedError as error:
                    # A refusal by the replica alone, not by the control log, says nothing about an
                    # earlier attempt, which may have been run.
                    if result_unknown is None or error.is_log_outcome:
                        raise
        raise result_unknown or control_unreachable


def _create_ssl_context(ca_file: Path | None) -> ssl.SSLContext:
    try:
        return ssl.create_default_context(cafile=ca_file)
    except OSError as error:
        raise UsageError(f"--ca {ca_file}: expected CA certificates ({error})") from error


async def _send_request(
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
        ) as response:
            content = await response.read()
            status = response.status
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise ControlUnreachableError(f"{url}: connection failed ({error})") from error
    except (aiohttp.ClientError, TimeoutError) as error:
        raise ResultUnknownError(f"{url}: no response ({type(error).__name__})") from error
    return _parse_response(url, status, content)


def _parse_response(url: URL, status: int, content: bytes) -> dict[str, Any]:
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
        is_log_outcome = "change_id" in document
        error_class = ConflictError if code == "version_conflict" else RefusedError
        raise error_class(message, code, is_log_outcome)
    if document.get("outcome") == "not-run":
        raise ControlUnreachableError(message)
    raise ResultUnknownError(message)


def _parse_url(text: str) -> URL:
    try:
        url = URL(text)
    except ValueError as error:
        raise UsageError(f"--control {text}: {error}") from error
    if url.scheme not in ("http", "https") or not url.host or url.query_string or url.fragment:
        raise UsageError(f"--control {text}: expected http://HOST:PORT")
    return url
