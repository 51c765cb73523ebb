"""Failure detection of servers by one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.heartbeat_history import HeartbeatHistory
from medlarpass.dispatch.pause_monitor import PauseMonitor

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import DetectorSettings


class FailureDetector:
    """Suspects servers with late heartbeats or consecutive unanswered requests.

    A suspicion only diverts requests to other servers; ownership ends with the session. Time
    during which the observer itself was paused does not count, because heartbeats that arrived
    meanwhile may still be unread.

    :param settings: settings of the detector
    :param clock: source of time that advances during pauses and suspensions
    """

    __slots__ = ("clock", "pause_monitor", "servers", "settings")

    def __init__(self, settings: DetectorSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.pause_monitor = PauseMonitor(clock, settings.pause_threshold)
        self.servers: dict[str, HeartbeatHistory] = {}

    def tick(self) -> float:
        """Record that the observer is running; called every ``settings.tick_interval`` seconds.

        :returns: seconds of the pause that this tick ends, 0 without a pause
        """
        return self.pause_monitor.tick()

    def record_heartbeat(self, server: str) -> None:
        """Record a heartbeat of a server."""
        now = self.pause_monitor.running_time()
        if server in self.servers:
            self.servers[server].record_heartbeat(now)
        else:
            self.servers[server] = HeartbeatHistory(self.settings, now)

    def request_answered(self, server: str) -> None:
        """Record a response, refusals included, as evidence that the server is alive."""
        if server in self.servers:
            self.servers[server].record_activity(self.pause_monitor.running_time())

    def request_unanswered(self, server: str) -> None:
        """Record a request that got no response although the observer was running."""
        if server in self.servers and not self.is_recovering():
            self.servers[server].unanswered_requests += 1

    def is_recovering(self) -> bool:
        """Return whether the observer was paused too recently to judge servers."""
        self.pause_monitor.tick()
        return self.pause_monitor.pause_ended_within(self.settings.report_age_limit)

    def suspects(self) -> frozenset[str]:
        """Return the suspected servers; empty shortly after a pause of the observer."""
        now = self.pause_monitor.running_time()
        if self.is_recovering():
            return frozenset()
        return frozenset(
            server for server, history in self.servers.items() if self._is_suspected(history, now)
        )

    def forget(self, server: str) -> None:
        """Remove the state of a server that left."""
        self.servers.pop(server, None)

    def _is_suspected(self, history: HeartbeatHistory, now: float) -> bool:
        if history.unanswered_requests >= self.settings.max_unanswered_requests:
            return True
        return history.phi(now) > self.settings.phi_threshold
