"""Suspicion of servers by one entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.dispatch.arrivals import Arrivals
from medlarpass.dispatch.pause_monitor import PauseMonitor

if TYPE_CHECKING:
    from medlarpass.clock import Clock
    from medlarpass.dispatch.settings import DetectorSettings


class FailureDetector:
    """Suspects servers by late heartbeats and unanswered requests.

    A suspicion only steers requests away; ownership ends with the session. Time in which the
    observer itself was paused does not count, because heartbeats may wait unread.

    :param settings: settings of the detector
    :param clock: source of time that counts pauses and suspensions
    """

    __slots__ = ("clock", "monitor", "servers", "settings")

    def __init__(self, settings: DetectorSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.monitor = PauseMonitor(clock, settings.pause)
        self.servers: dict[str, Arrivals] = {}

    def tick(self) -> float:
        """Take a sign that the observer runs; to be called every ``settings.tick`` seconds.

        :returns: seconds of the pause that ends with this tick, else 0
        """
        return self.monitor.tick()

    def heartbeat(self, server: str) -> None:
        """Take a heartbeat of a server."""
        now = self.monitor.running_time()
        if server in self.servers:
            self.servers[server].heartbeat(now)
        else:
            self.servers[server] = Arrivals(self.settings, now)

    def request_answered(self, server: str) -> None:
        """Take an answer, refusals included, as a sign of life."""
        if server in self.servers:
            self.servers[server].alive(self.monitor.running_time())

    def request_unanswered(self, server: str) -> None:
        """Take a request that got no answer although the observer was running."""
        if server in self.servers and not self.is_recovering():
            self.servers[server].failed_requests += 1

    def is_recovering(self) -> bool:
        """Return whether the observer was paused so recently that it cannot judge."""
        self.monitor.tick()
        return self.monitor.ended_within(self.settings.report_age_limit)

    def suspects(self) -> frozenset[str]:
        """Return the suspected servers; none shortly after a pause of the observer."""
        now = self.monitor.running_time()
        if self.is_recovering():
            return frozenset()
        return frozenset(
            server for server, arrivals in self.servers.items() if self._suspected(arrivals, now)
        )

    def forget(self, server: str) -> None:
        """Drop a server that left."""
        self.servers.pop(server, None)

    def _suspected(self, arrivals: Arrivals, now: float) -> bool:
        if arrivals.failed_requests >= self.settings.failed_requests:
            return True
        return arrivals.phi(now) > self.settings.threshold
