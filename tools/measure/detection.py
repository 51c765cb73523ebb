"""Wrong evictions and detection times with paused and cut-off entries and lost heartbeats."""

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

ENTRY_COUNT = 3
SERVER_COUNT = 12
HEARTBEAT_INTERVAL_SECONDS = 0.15
# Heartbeats arrive a few milliseconds late; one in fifty is also delayed by a garbage collection
# pause of the server.
MEAN_HEARTBEAT_DELAY_SECONDS = 0.005
MAX_COLLECTION_PAUSE_SECONDS = 0.1
COLLECTION_PAUSE_RATIO = 0.02
PEER_REPORT_INTERVAL_SECONDS = 0.1
PEER_REPORT_DELAY_SECONDS = 0.001
FAULT_START_SECONDS = 20.0
FAULT_DURATION_SECONDS = 3.0
# Share of the heartbeats that an entry does not receive over a faulty network.
HEARTBEAT_LOSS_RATIO = 0.1
CASES = (
    "no fault",
    "heartbeats missed",
    "entry paused",
    "entry cut off",
    "server lost",
    "lost, entry paused",
)


class Observer:
    """One entry that detects failed servers of its domain."""

    __slots__ = (
        "agreement",
        "deferred_messages",
        "detector",
        "is_cut_off",
        "is_paused",
        "last_heartbeat_at",
        "loop",
        "name",
    )

    def __init__(self, loop: EventLoop, name: str) -> None:
        self.loop = loop
        self.name = name
        settings = DetectorSettings()
        self.detector = FailureDetector(settings, loop)
        self.agreement = SuspicionAgreement(settings, loop)
        self.last_heartbeat_at: dict[str, float] = {}
        self.is_paused = False
        self.is_cut_off = False
        self.deferred_messages: list[Callable[[], None]] = []

    def receive(self, handler: Callable[[], None]) -> None:
        """Handle a message at once, or after the pause; drop it if the entry is cut off."""
        if self.is_cut_off:
            return
        if self.is_paused:
            self.deferred_messages.append(handler)
        else:
            handler()

    def record_heartbeat(self, server: str) -> None:
        """Record a heartbeat of a server."""
        self.detector.record_heartbeat(server)
        self.last_heartbeat_at[server] = self.loop.now()

    def resume(self) -> None:
        """End a pause: run the overdue check, then handle the deferred messages."""
        self.is_paused = False
        self.detector.tick()
        deferred, self.deferred_messages = self.deferred_messages, []
        # An entry's event loop reads its sockets one after the other, with checks in between.
        for number, handler in enumerate(deferred):
            self.loop.after(0.0005 * (number + 1), handler)

    def evicted_servers(self, policy: str) -> frozenset[str]:
        """Return the servers that this entry evicts under a policy."""
        now = self.loop.now()
        if policy == "medlarpass":
            return self.agreement.failed_servers()
        if policy == "suspicion alone":
            return self.detector.suspects()
        timeout = float(policy.split()[-2])
        return frozenset(
            server
            for server, heartbeat_at in self.last_heartbeat_at.items()
            if now - heartbeat_at > timeout
        )


POLICIES = ("medlarpass", "suspicion alone", "timeout 0.3 s", "timeout 0.6 s", "timeout 1.5 s")


class DomainSimulation:
    """Simulation of the servers and entries of one failure domain with one fault."""

    __slots__ = (
        "case",
        "detection_times",
        "loop",
        "lost_server",
        "observers",
        "rng",
        "wrong_evictions",
    )

    def __init__(self, rng: Random, case: str) -> None:
        self.loop = EventLoop()
        self.rng = rng
        self.case = case
        self.lost_server: str | None = None
        self.observers = [Observer(self.loop, f"e{n}") for n in range(ENTRY_COUNT)]
        self.wrong_evictions: dict[str, set[tuple[str, str]]] = {
            policy: set() for policy in POLICIES
        }
        self.detection_times: dict[str, float] = {}

    def run(self) -> None:
        """Run one trace."""
        for n in range(SERVER_COUNT):
            self._schedule_heartbeat(f"s{n}", self.rng.random() * HEARTBEAT_INTERVAL_SECONDS)
        for n, observer in enumerate(self.observers):
            self._check_periodically(observer)
            self.loop.after(
                PEER_REPORT_INTERVAL_SECONDS * n / ENTRY_COUNT,
                lambda o=observer: self._report_periodically(o),  # type: ignore[misc]
            )
        self.loop.after(FAULT_START_SECONDS, self._start_fault)
        self.loop.after(FAULT_START_SECONDS + FAULT_DURATION_SECONDS, self._end_fault)
        self.loop.run(FAULT_START_SECONDS + FAULT_DURATION_SECONDS + 5.0)

    def _schedule_heartbeat(self, server: str, delay: float) -> None:
        def send() -> None:
            if server == self.lost_server:
                return
            delivery_delay = self.rng.expovariate(1.0 / MEAN_HEARTBEAT_DELAY_SECONDS)
            if self.rng.random() < COLLECTION_PAUSE_RATIO:
                delivery_delay += MAX_COLLECTION_PAUSE_SECONDS * self.rng.random()
            for observer in self.observers:
                if "missed" in self.case and self.rng.random() < HEARTBEAT_LOSS_RATIO:
                    continue
                self.loop.after(
                    delivery_delay,
                    lambda o=observer: o.receive(  # type: ignore[misc]
                        lambda: o.record_heartbeat(server)
                    ),
                )
            self._schedule_heartbeat(server, HEARTBEAT_INTERVAL_SECONDS + delivery_delay)

        self.loop.after(delay, send)

    def _check_periodically(self, observer: Observer) -> None:
        if not observer.is_paused:
            observer.detector.tick()
            self._record_evictions(observer)
        self.loop.after(
            observer.detector.settings.tick_interval, lambda: self._check_periodically(observer)
        )

    def _report_periodically(self, observer: Observer) -> None:
        if not observer.is_paused:
            self._report(observer)
        self.loop.after(PEER_REPORT_INTERVAL_SECONDS, lambda: self._report_periodically(observer))

    def _report(self, observer: Observer) -> None:
        if observer.detector.is_recovering():
            return
        known_servers = set(observer.detector.servers)
        suspects = observer.detector.suspects()
        sent_at = self.loop.now()
        observer.agreement.record_report(observer.name, known_servers, suspects, sent_at)
        if observer.is_cut_off:
            return
        for other in self.observers:
            if other is not observer:
                self.loop.after(
                    PEER_REPORT_DELAY_SECONDS,
                    lambda o=other: o.receive(  # type: ignore[misc]
                        lambda: o.agreement.record_report(
                            observer.name, known_servers, suspects, sent_at
                        )
                    ),
                )

    def _record_evictions(self, observer: Observer) -> None:
        for policy in POLICIES:
            for server in observer.evicted_servers(policy):
                if server != self.lost_server:
                    self.wrong_evictions[policy].add((observer.name, server))
                elif policy not in self.detection_times:
                    self.detection_times[policy] = self.loop.now() - FAULT_START_SECONDS

    def _start_fault(self) -> None:
        if "paused" in self.case:
            self.observers[0].is_paused = True
        if "cut off" in self.case:
            self.observers[0].is_cut_off = True
        if "lost" in self.case:
            self.lost_server = "s0"

    def _end_fault(self) -> None:
        self.observers[0].is_cut_off = False
        if self.observers[0].is_paused:
            self.observers[0].resume()
            self._record_evictions(self.observers[0])


@section("detection", "Wrong evictions by any entry, and time to detect a lost server")
def run(options: Options) -> list[Row]:
    """Measure all policies on the same traces."""
    rows = []
    run_count = int(options.choose(3, 20))
    for case in CASES:
        simulations = [
            DomainSimulation(options.rng("detection", case, number), case)
            for number in range(run_count)
        ]
        for simulation in simulations:
            simulation.run()
        for policy in POLICIES:
            wrong_counts = [
                float(len(simulation.wrong_evictions[policy])) for simulation in simulations
            ]
            figures = {"wrong_per_run": mean(wrong_counts)}
            if "lost" in case:
                detection_times = [
                    simulation.detection_times[policy]
                    for simulation in simulations
                    if policy in simulation.detection_times
                ]
                figures["detected_pct"] = 100.0 * len(detection_times) / run_count
                figures["mean_ms"] = 1000.0 * mean(detection_times)
                figures["longest_ms"] = 1000.0 * max(detection_times, default=0.0)
            rows.append(Row(case, policy, figures))
    return rows
