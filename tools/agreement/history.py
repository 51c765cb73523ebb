"""Histories of operations and the clients that record them."""

from __future__ import annotations

import enum
import itertools
import json
import random
import threading
import time

from typing import TYPE_CHECKING
from typing import Any

from tools.bench.http_client import HttpResponse
from tools.bench.http_client import send_request

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.bench.cluster import Cluster
    from tools.bench.cluster import Node

#: Pool whose field ``moves_per_minute`` serves as the register; no route uses it.
REGISTER_POOL = "register"
REGISTER_FIELD = "moves_per_minute"
KEY_COUNT = 12
#: A client treats a response as lost after this time.
REQUEST_TIMEOUT_SECONDS = 2.0
MAX_SEND_COUNT = 4
PAUSE_SECONDS = 0.05
HTTP_OK = 200
#: Ratio of the orders that are sent again although their result is known.
RESEND_RATIO = 0.2
#: Ratio of the changes that expect an older version than the last one read.
STALE_EXPECTATION_RATIO = 0.1
VERSION_CONFLICT_CODE = "version_conflict"
#: Ratio of the operations that the client does not retry after a response "not run".
GIVE_UP_RATIO = 0.5


def boot_time() -> float:
    """Return CLOCK_BOOTTIME in seconds, which the stand-in servers also read."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OperationOutcome(enum.Enum):
    """Outcome of an operation, as known to its client after the last response."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Interval:
    """Time between the first request and the last response, in seconds.

    :param invoked_at: before the first request was sent
    :param returned_at: after the last response; None while the operation may still take effect
    """

    __slots__ = ("invoked_at", "returned_at")

    def __init__(self, invoked_at: float, returned_at: float | None = None) -> None:
        self.invoked_at = invoked_at
        self.returned_at = returned_at


class ConfigurationChange(Interval):
    """A change of the register.

    :param version: version that the change made, or the current one after a conflict
    """

    __slots__ = ("change_id", "expected_version", "outcome", "value", "version")

    def __init__(
        self,
        change_id: str,
        expected_version: int,
        value: int,
        invoked_at: float,
        returned_at: float | None = None,
        outcome: OperationOutcome = OperationOutcome.UNKNOWN,
        version: int | None = None,
    ) -> None:
        super().__init__(invoked_at, returned_at)
        self.change_id = change_id
        self.expected_version = expected_version
        self.value = value
        self.outcome = outcome
        self.version = version


class ConfigurationRead(Interval):
    """A successful read of the register."""

    __slots__ = ("value", "version")

    def __init__(self, version: int, value: int, invoked_at: float, returned_at: float) -> None:
        super().__init__(invoked_at, returned_at)
        self.version = version
        self.value = value


class AcceptedChange:
    """A change that the audit trail shows as accepted."""

    __slots__ = ("change_id", "value", "version")

    def __init__(self, version: int, change_id: str, value: int) -> None:
        self.version = version
        self.change_id = change_id
        self.value = value


class Order(Interval):
    """An order with all its attempts.

    :param results: bodies of the successful responses
    """

    __slots__ = ("order_id", "outcome", "results")

    def __init__(
        self,
        order_id: str,
        invoked_at: float,
        outcome: OperationOutcome = OperationOutcome.UNKNOWN,
        results: list[bytes] | None = None,
    ) -> None:
        super().__init__(invoked_at)
        self.order_id = order_id
        self.outcome = outcome
        self.results = results or []


class Acceptance(Interval):
    """A server accepted an enquiry under a fence at some time within the interval."""

    __slots__ = ("fence", "key", "server")

    def __init__(
        self, key: str, fence: int, server: str, invoked_at: float, returned_at: float
    ) -> None:
        super().__init__(invoked_at, returned_at)
        self.key = key
        self.fence = fence
        self.server = server


class RevisionReport:
    """A configuration revision that a process put in force.

    :param start_number: how many times the process had been started, this start included
    """

    __slots__ = ("process_name", "revision", "start_number")

    def __init__(self, process_name: str, start_number: int, revision: int) -> None:
        self.process_name = process_name
        self.start_number = start_number
        self.revision = revision


class History:
    """Everything that the clients recorded."""

    def __init__(self) -> None:
        self.changes: list[ConfigurationChange] = []
        self.reads: list[ConfigurationRead] = []
        self.orders: list[Order] = []
        self.enquiries: list[Acceptance] = []
        #: Enquiries without a successful response.
        self.failed_enquiries = 0
        #: Orders whose last attempt got "not run" after an attempt with an unknown outcome.
        self.not_run_after_unknown: list[str] = []

    def summary(self) -> str:
        """Return the number of operations by kind and outcome."""
        counts: dict[str, int] = {}
        for kind, operations in (("changes", self.changes), ("orders", self.orders)):
            for operation in operations:
                name = f"{kind} {operation.outcome.value}"
                counts[name] = counts.get(name, 0) + 1
        counts["reads"] = len(self.reads)
        counts["enquiries accepted"] = len(self.enquiries)
        counts["enquiries failed"] = self.failed_enquiries
        counts["orders not-run after unknown"] = len(self.not_run_after_unknown)
        return ", ".join(f"{name}: {count}" for name, count in sorted(counts.items()))


class Clients:
    """Concurrent clients, one thread each.

    :param cluster: running system
    :param seed: seed of the clients' choices
    :param history: gets the operations
    """

    def __init__(self, cluster: Cluster, seed: int, history: History) -> None:
        self.cluster = cluster
        self.seed = seed
        self.history = history
        self.values = itertools.count(1_000)
        self.order_numbers = itertools.count(1)
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []
        self.errors: list[BaseException] = []

    def start(
        self,
        writer_count: int = 3,
        reader_count: int = 2,
        order_client_count: int = 3,
        enquiry_client_count: int = 6,
    ) -> None:
        """Start all clients."""
        operations: list[Callable[[random.Random], object]] = []
        operations += [self._change_register] * writer_count + [self._read_register] * reader_count
        operations += [self._send_order] * order_client_count + [
            self._send_enquiry
        ] * enquiry_client_count
        for number, operation in enumerate(operations):
            rng = random.Random(f"{self.seed}/{number}")
            thread = threading.Thread(target=self._run, args=(operation, rng), daemon=True)
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop the clients after their current operation.

        :raises BaseException: the first error of a client
        """
        self.stopped.set()
        for thread in self.threads:
            thread.join(MAX_SEND_COUNT * REQUEST_TIMEOUT_SECONDS * 2)
            assert not thread.is_alive(), "a client did not stop"
        if self.errors:
            raise self.errors[0]

    def _run(self, operation: Callable[[random.Random], object], rng: random.Random) -> None:
        try:
            while not self.stopped.is_set():
                operation(rng)
                time.sleep(PAUSE_SECONDS * rng.random())
        except BaseException as error:
            self.errors.append(error)

    def _change_register(self, rng: random.Random) -> None:
        last_read = self._read_register(rng)
        if last_read is None:
            return
        expected_version = last_read.version
        if rng.random() < STALE_EXPECTATION_RATIO:
            expected_version -= 1
        value = next(self.values)
        change = ConfigurationChange(f"change-{value}", expected_version, value, boot_time())
        self.history.changes.append(change)
        document = {
            "change_id": change.change_id,
            "expected_version": expected_version,
            "document": {REGISTER_FIELD: value},
        }
        body = json.dumps(document).encode()
        has_unknown_outcome = False
        for _ in range(MAX_SEND_COUNT):
            replica = rng.choice(self.cluster.control)
            response = send_request(
                "PUT",
                replica.http_port,
                f"/v1/pools/{REGISTER_POOL}",
                body,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
            outcome, version = change_outcome(response)
            if outcome in (OperationOutcome.ACCEPTED, OperationOutcome.CONFLICT):
                change.outcome, change.version, change.returned_at = outcome, version, boot_time()
                return
            has_unknown_outcome = has_unknown_outcome or outcome is OperationOutcome.UNKNOWN
            if outcome is OperationOutcome.NOT_RUN and rng.random() < GIVE_UP_RATIO:
                break
            time.sleep(PAUSE_SECONDS)
        if not has_unknown_outcome:
            change.outcome, change.returned_at = OperationOutcome.NOT_RUN, boot_time()

    def _read_register(self, rng: random.Random) -> ConfigurationRead | None:
        read = read_register(rng.choice(self.cluster.control))
        if read is not None:
            self.history.reads.append(read)
        return read

    def _send_order(self, rng: random.Random) -> None:
        order_id = f"order-{next(self.order_numbers)}"
        headers = {"Idempotency-Key": order_id, "Order-Id": order_id}
        order = Order(order_id, boot_time())
        self.history.orders.append(order)
        send_outcomes = []
        for _ in range(MAX_SEND_COUNT):
            entry = rng.choice(self.cluster.entries)
            body = order_id.encode()
            response = send_request(
                "POST", entry.http_port, "/orders", body, headers, REQUEST_TIMEOUT_SECONDS
            )
            send_outcomes.append(order_outcome(response))
            if send_outcomes[-1] is OperationOutcome.RUN and response is not None:
                order.results.append(response.body)
                if rng.random() >= RESEND_RATIO:
                    break
            if send_outcomes[-1] is OperationOutcome.NOT_RUN and rng.random() < GIVE_UP_RATIO:
                break
            time.sleep(PAUSE_SECONDS)
        if OperationOutcome.RUN in send_outcomes:
            order.outcome = OperationOutcome.RUN
        elif OperationOutcome.UNKNOWN not in send_outcomes:
            order.outcome = OperationOutcome.NOT_RUN
        elif send_outcomes[-1] is OperationOutcome.NOT_RUN:
            # The response is about the last attempt only; an earlier one may have run.
            self.history.not_run_after_unknown.append(order_id)

    def _send_enquiry(self, rng: random.Random) -> None:
        entry = rng.choice(self.cluster.entries)
        key = f"roll-{rng.randrange(KEY_COUNT)}"
        invoked_at = boot_time()
        response = send_request(
            "GET", entry.http_port, f"/stock/{key}", timeout=REQUEST_TIMEOUT_SECONDS
        )
        returned_at = boot_time()
        if response is None or response.status != HTTP_OK:
            self.history.failed_enquiries += 1
            return
        document = response.json()
        assert document["key"] == key, f"requested {key}, got the response for {document['key']}"
        self.history.enquiries.append(
            Acceptance(key, document["fence"], document["server"], invoked_at, returned_at)
        )


def read_register(replica: Node) -> ConfigurationRead | None:
    """Read the register through a replica.

    :returns: the read, or None without a successful response
    """
    invoked_at = boot_time()
    response = send_request(
        "GET", replica.http_port, f"/v1/pools/{REGISTER_POOL}", timeout=REQUEST_TIMEOUT_SECONDS
    )
    if response is None or response.status != HTTP_OK:
        return None
    document = response.json()
    return ConfigurationRead(
        document["version"], document["document"][REGISTER_FIELD], invoked_at, boot_time()
    )


def change_outcome(response: HttpResponse | None) -> tuple[OperationOutcome, int | None]:
    """Return the outcome of a change according to a response, and the version in it."""
    if response is None:
        return OperationOutcome.UNKNOWN, None
    document = response.json()
    if response.status == HTTP_OK:
        return OperationOutcome.ACCEPTED, document["items"][0]["version"]
    if document["code"] == VERSION_CONFLICT_CODE:
        return OperationOutcome.CONFLICT, document["items"][0]["version"]
    if document["outcome"] == OperationOutcome.NOT_RUN.value:
        return OperationOutcome.NOT_RUN, None
    return OperationOutcome.UNKNOWN, None


def order_outcome(response: HttpResponse | None) -> OperationOutcome:
    """Return the outcome of one attempt of an order according to a response."""
    if response is None:
        return OperationOutcome.UNKNOWN
    if response.status == HTTP_OK:
        return OperationOutcome.RUN
    if response.headers.get("medlarpass-outcome") == OperationOutcome.NOT_RUN.value:
        return OperationOutcome.NOT_RUN
    return OperationOutcome.UNKNOWN


def accepted_register_changes(records: list[dict[str, Any]]) -> list[AcceptedChange]:
    """Return the accepted changes of the register in the order of the audit trail.

    A record holds the document but not the version. Each accepted change of the document makes
    the next version, starting at 1.

    :param records: the whole audit trail
    """
    accepted = [
        record
        for record in records
        if record["action"] == f"put pool {REGISTER_POOL}" and record["outcome"] == "accepted"
    ]
    return [
        AcceptedChange(version, record["change_id"], json.loads(record["after"])[REGISTER_FIELD])
        for version, record in enumerate(accepted, start=1)
    ]


def journal_acceptances(events: list[dict[str, Any]]) -> list[Acceptance]:
    """Return the accepted enquiries of an ownership journal."""
    return [
        Acceptance(event["key"], event["fence"], event["server"], event["before"], event["after"])
        for event in events
        if event["event"] == "accepted"
    ]


def revision_reports(process_name: str, log: str) -> list[RevisionReport]:
    """Return the revisions that a process logged over all its starts.

    :param process_name: name of the process
    :param log: output of the process
    """
    reports = []
    start_number = 0
    for line in log.splitlines():
        try:
            message = json.loads(line)
        except ValueError:
            # A killed process may leave an incomplete line.
            continue
        name = str(message.get("message_type", "")) if isinstance(message, dict) else ""
        if name.endswith("process_started"):
            start_number += 1
        elif name.endswith("configuration_applied"):
            reports.append(RevisionReport(process_name, start_number, message["revision"]))
    return reports
