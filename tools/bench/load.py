"""Callers that send a mixed load and check each response."""

from __future__ import annotations

import hashlib
import http.client
import itertools
import random
import threading

from collections import Counter
from typing import TYPE_CHECKING

from examples.standin.server import download_fill
from tools.bench.http_client import HttpResponse
from tools.bench.ports import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

HTTP_OK = 200
#: Twice the default deadline of a route. After a timeout at a frozen entry the caller chooses
#: another entry, as a load balancer would.
REQUEST_TIMEOUT_SECONDS = 10.0
REQUEST_KINDS = ("enquiry", "order", "download")


class CallerConnection:
    """A persistent connection of a caller.

    :param port: callers' port of an entry
    """

    def __init__(self, port: int) -> None:
        self.connection = http.client.HTTPConnection(
            LOOPBACK, port, timeout=REQUEST_TIMEOUT_SECONDS
        )

    def send_request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> HttpResponse | None:
        """Send a request.

        :returns: the response, or None if no complete response arrived
        """
        try:
            self.connection.request(method, path, body, headers or {})
            response = self.connection.getresponse()
            fields = {name.lower(): value for name, value in response.getheaders()}
            return HttpResponse(response.status, fields, response.read())
        except (OSError, http.client.HTTPException):
            self.connection.close()
            return None


class MixedLoad:
    """Several callers that send enquiries, orders and downloads through all entries.

    :param ports: callers' ports
    :param seed: seed of the random choices
    :param callers: number of concurrent callers
    :param kinds: kinds of requests that are sent
    :param keys: number of different keys
    :param pause: seconds between requests of a caller
    :param deadline_ms: deadline of enquiries, or None for that of the route
    """

    def __init__(
        self,
        ports: Sequence[int],
        seed: int,
        callers: int = 8,
        kinds: Sequence[str] = REQUEST_KINDS,
        keys: int = 60,
        pause: float = 0.0,
        deadline_ms: int | None = None,
    ) -> None:
        self.ports = list(ports)
        self.seed = seed
        self.kinds = list(kinds)
        self.keys = keys
        self.pause = pause
        self.deadline_ms = deadline_ms
        self.numbers = itertools.count()
        self.request_limit: int | None = None
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.finished_counts: Counter[str] = Counter()
        #: Responses that are incomplete or belong to another request.
        self.incorrect_responses: list[str] = []
        #: Requests without a successful response.
        self.failed_requests: list[str] = []
        self.failed_keys: list[str] = []
        #: Orders that were reported as not run, and orders with a successful response.
        self.orders_not_run: list[str] = []
        self.executed_order_ids: list[str] = []
        self.threads = [
            threading.Thread(target=self._run_caller, args=(number,), daemon=True)
            for number in range(callers)
        ]

    def start(self, requests: int | None = None) -> None:
        """Start the callers.

        :param requests: total number of requests, or None to send until :meth:`stop`
        """
        self.request_limit = requests
        for thread in self.threads:
            thread.start()

    def finish(self, timeout: float = 90.0) -> None:
        """Wait until all callers have finished."""
        for thread in self.threads:
            thread.join(timeout)
            assert not thread.is_alive(), "a caller still waits for a response"

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self.stopped.set()
        self.finish()

    def _run_caller(self, caller: int) -> None:
        rng = random.Random(self.seed * 1000 + caller)
        connections = {port: CallerConnection(port) for port in self.ports}
        actions: dict[str, Callable[[CallerConnection, int, random.Random], None]] = {
            "enquiry": self._send_enquiry,
            "order": self._send_order,
            "download": self._send_download,
        }
        while not self.stopped.is_set():
            number = next(self.numbers)
            if self.request_limit is not None and number >= self.request_limit:
                return
            connection = connections[rng.choice(self.ports)]
            actions[rng.choice(self.kinds)](connection, number, rng)
            self.stopped.wait(self.pause)

    def _send_enquiry(self, connection: CallerConnection, number: int, rng: random.Random) -> None:
        key = f"roll-{rng.randrange(self.keys)}"
        path = f"/stock/{key}?n={number}"
        headers = {"Medlarpass-Request-Id": f"id-{number}"}
        if self.deadline_ms is not None:
            headers["Medlarpass-Deadline-Ms"] = str(self.deadline_ms)
        response = connection.send_request("GET", path, headers=headers)
        if not self._record_result(connection, "enquiry", number, response):
            self.failed_keys.append(key)
            return
        assert response is not None
        self._check_document(
            f"enquiry {number}",
            response,
            {"key": key, "path": path, "request": f"id-{number}"},
        )

    def _send_order(self, connection: CallerConnection, number: int, rng: random.Random) -> None:
        order_id = f"order-{self.seed}-{number}"
        body = rng.randbytes(rng.randrange(1, 4000))
        headers = {"Order-Id": order_id, "Medlarpass-Request-Id": f"id-{number}"}
        if rng.random() < 0.5:
            headers["Idempotency-Key"] = order_id
        response = connection.send_request("POST", f"/orders?n={number}", body, headers)
        if not self._record_result(connection, "order", number, response):
            if response is not None and response.headers.get("medlarpass-outcome") == "not-run":
                self.orders_not_run.append(order_id)
            return
        assert response is not None
        self.executed_order_ids.append(order_id)
        self._check_document(
            f"order {number}",
            response,
            {
                "order": order_id,
                "digest": hashlib.sha256(body).hexdigest(),
                "path": f"/orders?n={number}",
                "request": f"id-{number}",
            },
        )

    def _send_download(self, connection: CallerConnection, number: int, rng: random.Random) -> None:
        size = rng.randrange(1, 300_000)
        path = f"/download/{size}?n={number}"
        response = connection.send_request(
            "GET", path, headers={"Medlarpass-Request-Id": f"id-{number}"}
        )
        if not self._record_result(connection, "download", number, response):
            return
        assert response is not None
        if response.body != download_fill(path) * size:
            self.incorrect_responses.append(
                f"download {number}: {len(response.body)} of {size} bytes, or wrong content"
            )

    def _record_result(
        self, connection: CallerConnection, kind: str, number: int, response: HttpResponse | None
    ) -> bool:
        with self.lock:
            self.finished_counts[kind] += 1
        port = connection.connection.port
        if response is None:
            self.failed_requests.append(f"{kind} {number} at {port}: no complete response")
            return False
        if response.headers.get("medlarpass-request-id") != f"id-{number}":
            self.incorrect_responses.append(f"{kind} {number}: {response.headers}")
        if response.status != HTTP_OK:
            self.failed_requests.append(
                f"{kind} {number} at {port}: {response.status} {response.body[:300]!r}"
            )
            return False
        return True

    def _check_document(self, label: str, response: HttpResponse, expected: dict[str, str]) -> None:
        document = response.json()
        differences = {
            name: document.get(name) for name in expected if document[name] != expected[name]
        }
        if differences:
            self.incorrect_responses.append(f"{label}: {differences} instead of {expected}")
