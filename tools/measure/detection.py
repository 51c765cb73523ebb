"""Wrong evictions and time to detect with paused, cut-off and slow observers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch import DetectorSettings
from medlarpass.dispatch import FailureDetector
from medlarpass.dispatch import SuspicionAgreement
from tools.measure.event_loop import EventLoop
from tools.measure.figures import mean
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from tools.measure.options import Options

ENTRIES = 3
SERVERS = 12
HEARTBEAT = 0.15
# Heartbeats arrive late by a few milliseconds; one in fifty is held up by a collection pause.
JITTER = 0.005
HOLD_UP = 0.1
HOLD_UP_PART = 0.02
EXCHANGE = 0.1
EXCHANGE_DELAY = 0.001
FAULT_BEGIN = 20.0
FAULT_LENGTH = 3.0
# Part of the heartbeats that an entry misses while the network is bad.
MISSED = 0.1
CASES = (
    "no fault",
    "heartbeats missed",
    "entry paused",
    "entry cut off",
    "server lost",
    "lost, entry paused",
)


class Observer:
    """One entry that watches all servers of its domain."""

    __slots__ = ("agreement", "cut_off", "detector", "last", "loop", "name", "paused", "unread")

    def __init__(self, loop: EventLoop, name: str) -> None:
        self.loop = loop
        self.name = name
        settings = DetectorSettings()
        self.detector = FailureDetector(settings, loop)
        self.agreement = SuspicionAgreement(settings, loop)
        self.last: dict[str, float] = {}
        self.paused = False
        self.cut_off = False
        self.unread: list[Callable[[], None]] = []

    def receive(self, action: Callable[[], None]) -> None:
        """Handle a message now, or after the pause."""
        if self.cut_off:
            return
        if self.paused:
            self.unread.append(action)
        else:
            action()

    def heartbeat(self, server: str) -> None:
        """Take a heartbeat."""
        self.detector.record_heartbeat(server)
        self.last[server] = self.loop.now()

    def resume(self) -> None:
        """End a pause: timers run first, then the messages that waited."""
        self.paused = False
        self.detector.tick()
        waiting, self.unread = self.unread, []
        # The event loop reads its sockets one after the other; checks run in between.
        for number, action in enumerate(waiting):
            self.loop.after(0.0005 * (number + 1), action)

    def evictions(self, policy: str) -> frozenset[str]:
        """Return the servers that this entry takes out under a policy."""
        now = self.loop.now()
        if policy == "medlarpass":
            return self.agreement.failed_servers()
        if policy == "suspicion alone":
            return self.detector.suspects()
        limit = float(policy.split()[-2])
        return frozenset(server for server, at in self.last.items() if now - at > limit)


POLICIES = ("medlarpass", "suspicion alone", "timeout 0.3 s", "timeout 0.6 s", "timeout 1.5 s")


class Domain:
    """Servers and observers of one failure domain with one fault."""

    __slots__ = ("case", "detected", "loop", "lost", "observers", "rng", "wrong")

    def __init__(self, rng: Random, case: str) -> None:
        self.loop = EventLoop()
        self.rng = rng
        self.case = case
        self.lost: str | None = None
        self.observers = [Observer(self.loop, f"e{n}") for n in range(ENTRIES)]
        self.wrong: dict[str, set[tuple[str, str]]] = {policy: set() for policy in POLICIES}
        self.detected: dict[str, float] = {}

    def run(self) -> None:
        """Run one trace."""
        for n in range(SERVERS):
            self._beat(f"s{n}", self.rng.random() * HEARTBEAT)
        for n, observer in enumerate(self.observers):
            self._tick(observer)
            self.loop.after(EXCHANGE * n / ENTRIES, lambda o=observer: self._exchange(o))  # type: ignore[misc]
        self.loop.after(FAULT_BEGIN, self._begin_fault)
        self.loop.after(FAULT_BEGIN + FAULT_LENGTH, self._end_fault)
        self.loop.run(FAULT_BEGIN + FAULT_LENGTH + 5.0)

    def _beat(self, server: str, delay: float) -> None:
        def send() -> None:
            if server == self.lost:
                return
            late = self.rng.expovariate(1.0 / JITTER)
            if self.rng.random() < HOLD_UP_PART:
                late += HOLD_UP * self.rng.random()
            for observer in self.observers:
                if "missed" in self.case and self.rng.random() < MISSED:
                    continue
                self.loop.after(
                    late, lambda o=observer: o.receive(lambda: o.heartbeat(server))  # type: ignore[misc]
                )
            self._beat(server, HEARTBEAT + late)

        self.loop.after(delay, send)

    def _tick(self, observer: Observer) -> None:
        if not observer.paused:
            observer.detector.tick()
            self._judge(observer)
        self.loop.after(observer.detector.settings.tick_interval, lambda: self._tick(observer))

    def _exchange(self, observer: Observer) -> None:
        if not observer.paused:
            self._report(observer)
        self.loop.after(EXCHANGE, lambda: self._exchange(observer))

    def _report(self, observer: Observer) -> None:
        if observer.detector.is_recovering():
            return
        known = set(observer.detector.servers)
        suspects = observer.detector.suspects()
        sent_at = self.loop.now()
        observer.agreement.record_report(observer.name, known, suspects, sent_at)
        if observer.cut_off:
            return
        for other in self.observers:
            if other is not observer:
                self.loop.after(
                    EXCHANGE_DELAY,
                    lambda o=other: o.receive(  # type: ignore[misc]
                        lambda: o.agreement.record_report(observer.name, known, suspects, sent_at)
                    ),
                )

    def _judge(self, observer: Observer) -> None:
        for policy in POLICIES:
            for server in observer.evictions(policy):
                if server != self.lost:
                    self.wrong[policy].add((observer.name, server))
                elif policy not in self.detected:
                    self.detected[policy] = self.loop.now() - FAULT_BEGIN

    def _begin_fault(self) -> None:
        if "paused" in self.case:
            self.observers[0].paused = True
        if "cut off" in self.case:
            self.observers[0].cut_off = True
        if "lost" in self.case:
            self.lost = "s0"

    def _end_fault(self) -> None:
        self.observers[0].cut_off = False
        if self.observers[0].paused:
            self.observers[0].resume()
            self._judge(self.observers[0])


@section("detection", "Wrong evictions by any entry, and time to detect a lost server")
def run(options: Options) -> list[Row]:
    """Measure all policies on the same traces."""
    rows = []
    runs = int(options.choose(3, 20))
    for case in CASES:
        domains = [Domain(options.rng("detection", case, number), case) for number in range(runs)]
        for domain in domains:
            domain.run()
        for policy in POLICIES:
            wrong = [float(len(domain.wrong[policy])) for domain in domains]
            figures = {"wrong_per_run": mean(wrong)}
            if "lost" in case:
                times = [d.detected[policy] for d in domains if policy in d.detected]
                figures["detected_pct"] = 100.0 * len(times) / runs
                figures["mean_ms"] = 1000.0 * mean(times)
                figures["longest_ms"] = 1000.0 * max(times, default=0.0)
            rows.append(Row(case, policy, figures))
    return rows
