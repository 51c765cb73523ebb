"""HTTP requests of tests."""

from __future__ import annotations

import http.client
import json

from typing import Any

from tools.bench.ports import LOOPBACK


class HttpResponse:
    """A complete HTTP response.

    :param status: status code
    :param headers: headers by lower-case name
    :param body: complete body
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Return the body parsed as JSON."""
        return json.loads(self.body)


def send_request(
    method: str,
    port: int,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 10.0,
) -> HttpResponse | None:
    """Send a request to a loopback port on a new connection.

    :returns: the response, or None if no complete response arrived
    """
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        fields = {name.lower(): value for name, value in response.getheaders()}
        return HttpResponse(response.status, fields, response.read())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
