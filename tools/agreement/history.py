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

from tools.bench.http_call import HttpAnswer
from tools.bench.http_call import call

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.bench.cluster import Cluster
    from tools.bench.cluster import Node

#: Pool whose field ``moves_per_minute`` is the register; no route uses it.
REGISTER = "register"
FIELD = "moves_per_minute"
KEYS = 12
#: Seconds after which a client takes an answer for lost.
CALL_TIMEOUT = 2.0
MOST_SENDS = 4
PAUSE = 0.05
HTTP_OK = 200
#: Share of the orders that are sent again although they were answered.
REPEATED_SHARE = 0.2
#: Share of the changes that expect an older version than the last one seen.
STALE_SHARE = 0.1
CONFLICT = "version_conflict"
#: Share of the operations that the client gives up after an answer "not run".
GIVEN_UP_SHARE = 0.5


def now() -> float:
    """Return CLOCK_BOOTTIME in seconds, which the stand-in servers also read."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Verdict(enum.Enum):
    """What a client knows about its operation after the last answer."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    RUN = "run"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Interval:
    """Time between the first request and the last answer, in seconds.

    :param invoked: before the first request was sent
    :param returned: after the answer arrived; None while the operation may still take effect
    """

    __slots__ = ("invoked", "returned")

    def __init__(self, invoked: float, returned: float | None = None) -> None:
        self.invoked = invoked
        self.returned = returned


class ConfigurationChange(Interval):
    """A change of the register.

    :param version: version made, or present at a conflict
    """

    __slots__ = ("change_id", "expected", "value", "verdict", "version")

    def __init__(
        self,
        change_id: str,
        expected: int,
        value: int,
        invoked: float,
        returned: float | None = None,
        verdict: Verdict = Verdict.UNKNOWN,
        version: int | None = None,
    ) -> None:
        super().__init__(invoked, returned)
        self.change_id = change_id
        self.expected = expected
        self.value = value
        self.verdict = verdict
        self.version = version


class ConfigurationRead(Interval):
    """A read of the register that was answered."""

    __slots__ = ("value", "version")

    def __init__(self, version: int, value: int, invoked: float, returned: float) -> None:
        super().__init__(invoked, returned)
        self.version = version
        self.value = value


class ChainLink:
    """A change that the audit trail shows as accepted."""

    __slots__ = ("change_id", "value", "version")

    def __init__(self, version: int, change_id: str, value: int) -> None:
        self.version = version
        self.change_id = change_id
        self.value = value


class Order(Interval):
    """An order with all its sends.

    :param results: bodies of the answers with a result
    """

    __slots__ = ("order_id", "results", "verdict")

    def __init__(
        self,
        order_id: str,
        invoked: float,
        verdict: Verdict = Verdict.UNKNOWN,
        results: list[bytes] | None = None,
    ) -> None:
        super().__init__(invoked)
        self.order_id = order_id
        self.verdict = verdict
        self.results = results or []


class Acceptance(Interval):
    """A server accepted an enquiry under a fence at some time within the interval."""

    __slots__ = ("fence", "key", "server")

    def __init__(self, key: str, fence: int, server: str, invoked: float, returned: float) -> None:
        super().__init__(invoked, returned)
        self.key = key
        self.fence = fence
        self.server = server


class RevisionReport:
    """A revision in force.

    :param start: number of the start of the process
    """

    __slots__ = ("place", "revision", "start")

    def __init__(self, place: str, start: int, revision: int) -> None:
        self.place = place
        self.start = start
        self.revision = revision


class History:
    """Everything that the clients recorded."""

    def __init__(self) -> None:
        self.changes: list[ConfigurationChange] = []
        self.reads: list[ConfigurationRead] = []
        self.orders: list[Order] = []
        self.enquiries: list[Acceptance] = []
        #: Enquiries without a good answer.
        self.failed_enquiries = 0
        #: Orders whose last send was answered as not run after one without an answer.
        self.not_run_after_unknown: list[str] = []

    def summary(self) -> str:
        """Return the number of operations by kind and verdict."""
        counts: dict[str, int] = {}
        for kind, operations in (("changes", self.changes), ("orders", self.orders)):
            for operation in operations:
                name = f"{kind} {operation.verdict.value}"
                counts[name] = counts.get(name, 0) + 1
        counts["reads"] = len(self.reads)
        counts["enquiries answered"] = len(self.enquiries)
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
        self.numbers = itertools.count(1)
        self.stopped = threading.Event()
        self.threads: list[threading.Thread] = []
        self.errors: list[BaseException] = []

    def start(self, changers: int = 3, readers: int = 2, buyers: int = 3, askers: int = 6) -> None:
        """Start all clients."""
        steps: list[Callable[[random.Random], object]] = []
        steps += [self._change] * changers + [self._read] * readers
        steps += [self._order] * buyers + [self._enquire] * askers
        for number, step in enumerate(steps):
            chooser = random.Random(f"{self.seed}/{number}")
            thread = threading.Thread(target=self._run, args=(step, chooser), daemon=True)
            self.threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """End the clients after their present operation.

        :raises BaseException: the first error of a client
        """
        self.stopped.set()
        for thread in self.threads:
            thread.join(MOST_SENDS * CALL_TIMEOUT * 2)
            assert not thread.is_alive(), "a client did not end"
        if self.errors:
            raise self.errors[0]

    def _run(self, step: Callable[[random.Random], object], chooser: random.Random) -> None:
        try:
            while not self.stopped.is_set():
                step(chooser)
                time.sleep(PAUSE * chooser.random())
        except BaseException as error:
            self.errors.append(error)

    def _change(self, chooser: random.Random) -> None:
        seen = self._read(chooser)
        if seen is None:
            return
        expected = seen.version
        if chooser.random() < STALE_SHARE:
            expected -= 1
        value = next(self.values)
        change = ConfigurationChange(f"change-{value}", expected, value, now())
        self.history.changes.append(change)
        document = {
            "change_id": change.change_id,
            "expected_version": expected,
            "document": {FIELD: value},
        }
        body = json.dumps(document).encode()
        unknown = False
        for _ in range(MOST_SENDS):
            replica = chooser.choice(self.cluster.control)
            answer = call("PUT", replica.front, f"/v1/pools/{REGISTER}", body, timeout=CALL_TIMEOUT)
            verdict, version = change_result(answer)
            if verdict in (Verdict.ACCEPTED, Verdict.CONFLICT):
                change.verdict, change.version, change.returned = verdict, version, now()
                return
            unknown = unknown or verdict is Verdict.UNKNOWN
            if verdict is Verdict.NOT_RUN and chooser.random() < GIVEN_UP_SHARE:
                break
            time.sleep(PAUSE)
        if not unknown:
            change.verdict, change.returned = Verdict.NOT_RUN, now()

    def _read(self, chooser: random.Random) -> ConfigurationRead | None:
        read = read_register(chooser.choice(self.cluster.control))
        if read is not None:
            self.history.reads.append(read)
        return read

    def _order(self, chooser: random.Random) -> None:
        order_id = f"order-{next(self.numbers)}"
        headers = {"Idempotency-Key": order_id, "Order-Id": order_id}
        order = Order(order_id, now())
        self.history.orders.append(order)
        sends = []
        for _ in range(MOST_SENDS):
            entry = chooser.choice(self.cluster.entries)
            body = order_id.encode()
            answer = call("POST", entry.front, "/orders", body, headers, CALL_TIMEOUT)
            sends.append(order_result(answer))
            if sends[-1] is Verdict.RUN and answer is not None:
                order.results.append(answer.body)
                if chooser.random() >= REPEATED_SHARE:
                    break
            if sends[-1] is Verdict.NOT_RUN and chooser.random() < GIVEN_UP_SHARE:
                break
            time.sleep(PAUSE)
        if Verdict.RUN in sends:
            order.verdict = Verdict.RUN
        elif Verdict.UNKNOWN not in sends:
            order.verdict = Verdict.NOT_RUN
        elif sends[-1] is Verdict.NOT_RUN:
            # Such an answer is about that send only; an earlier one may have run.
            self.history.not_run_after_unknown.append(order_id)

    def _enquire(self, chooser: random.Random) -> None:
        entry = chooser.choice(self.cluster.entries)
        key = f"roll-{chooser.randrange(KEYS)}"
        invoked = now()
        answer = call("GET", entry.front, f"/stock/{key}", timeout=CALL_TIMEOUT)
        returned = now()
        if answer is None or answer.status != HTTP_OK:
            self.history.failed_enquiries += 1
            return
        document = answer.json()
        assert document["key"] == key, f"asked for {key}, got the answer for {document['key']}"
        self.history.enquiries.append(
            Acceptance(key, document["fence"], document["server"], invoked, returned)
        )


def read_register(replica: Node) -> ConfigurationRead | None:
    """Read the register through a replica.

    :returns: the read, None without an answer
    """
    invoked = now()
    answer = call("GET", replica.front, f"/v1/pools/{REGISTER}", timeout=CALL_TIMEOUT)
    if answer is None or answer.status != HTTP_OK:
        return None
    document = answer.json()
    return ConfigurationRead(document["version"], document["document"][FIELD], invoked, now())


def change_result(answer: HttpAnswer | None) -> tuple[Verdict, int | None]:
    """Return what an answer says about a change, and the version that it names."""
    if answer is None:
        return Verdict.UNKNOWN, None
    document = answer.json()
    if answer.status == HTTP_OK:
        return Verdict.ACCEPTED, document["items"][0]["version"]
    if document["code"] == CONFLICT:
        return Verdict.CONFLICT, document["items"][0]["version"]
    if document["outcome"] == Verdict.NOT_RUN.value:
        return Verdict.NOT_RUN, None
    return Verdict.UNKNOWN, None


def order_result(answer: HttpAnswer | None) -> Verdict:
    """Return what an answer says about one send of an order."""
    if answer is None:
        return Verdict.UNKNOWN
    if answer.status == HTTP_OK:
        return Verdict.RUN
    if answer.headers.get("medlarpass-outcome") == Verdict.NOT_RUN.value:
        return Verdict.NOT_RUN
    return Verdict.UNKNOWN


def register_chain(records: list[dict[str, Any]]) -> list[ChainLink]:
    """Return the accepted changes of the register in the order of the audit trail.

    A record holds the document, not the version; each accepted change of the document makes the
    next version, the first one being 1.

    :param records: the whole audit trail
    """
    accepted = [
        record
        for record in records
        if record["action"] == f"put pool {REGISTER}" and record["outcome"] == "accepted"
    ]
    return [
        ChainLink(version, record["change_id"], json.loads(record["after"])[FIELD])
        for version, record in enumerate(accepted, start=1)
    ]


def journal_acceptances(events: list[dict[str, Any]]) -> list[Acceptance]:
    """Return the accepted enquiries of an ownership journal."""
    return [
        Acceptance(each["key"], each["fence"], each["server"], each["before"], each["after"])
        for each in events
        if each["event"] == "accepted"
    ]


def revision_reports(place: str, log: str) -> list[RevisionReport]:
    """Return the revisions that a process logged, over all its starts.

    :param place: name of the process
    :param log: its output
    """
    reports = []
    start = 0
    for line in log.splitlines():
        try:
            message = json.loads(line)
        except ValueError:
            # A killed process may leave a torn line.
            continue
        name = str(message.get("message_type", "")) if isinstance(message, dict) else ""
        if name.endswith("process_started"):
            start += 1
        elif name.endswith("configuration_applied"):
            reports.append(RevisionReport(place, start, message["revision"]))
    return reports
