"""Simulated starts, stops and losses of servers, the same for all policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from tools.measure.deployment import Deployment
    from tools.measure.options import Options

SERVER_COUNT = 20
# Time between two losses or stops, and from each of them to the restart of the server.
EVENT_INTERVAL_SECONDS = 30
RESTART_DELAY_SECONDS = 15
# Time in which a graceful shutdown hands over all keys before the server leaves.
DRAIN_SECONDS = 3


class Member(Value):
    """State of a server during one second.

    :param server: identity of the server
    :param domain: number of the failure domain
    :param draining: whether the server has to hand over its keys
    """

    __slots__ = ("domain", "draining", "server")

    def __init__(self, server: str, domain: int, draining: bool = False) -> None:
        self.server = server
        self.domain = domain
        self.draining = draining


class Fleet:
    """Running servers in each second of a trace.

    :param deployment: deployment of the servers
    :param seconds: length of the trace

    :ivar members_by_second: running servers by identity, one mapping per second
    """

    __slots__ = ("members_by_second",)

    def __init__(self, deployment: Deployment, seconds: int) -> None:
        names = {f"s{n:02}": n % deployment.domains for n in range(SERVER_COUNT)}
        self.members_by_second = [
            {server: Member(server, domain) for server, domain in names.items()}
            for _ in range(seconds)
        ]

    def stop_and_start(self, options: Options) -> None:
        """Alternate between losing and gracefully shutting down a server; each restarts later."""
        rng = options.rng("fleet")
        for number, event_second in enumerate(
            range(EVENT_INTERVAL_SECONDS, len(self.members_by_second), EVENT_INTERVAL_SECONDS)
        ):
            server = f"s{rng.randrange(SERVER_COUNT):02}"
            is_graceful = number % 2 == 1
            if is_graceful:
                for members in self.members_by_second[event_second : event_second + DRAIN_SECONDS]:
                    members[server].draining = True
            stop_second = event_second + DRAIN_SECONDS if is_graceful else event_second
            for members in self.members_by_second[
                stop_second : event_second + RESTART_DELAY_SECONDS
            ]:
                del members[server]

    def lose_domain(self, domain: int) -> None:
        """Lose all servers of a domain for the middle third of the trace."""
        length = len(self.members_by_second)
        for members in self.members_by_second[length // 3 : 2 * length // 3]:
            for server in [member.server for member in members.values() if member.domain == domain]:
                del members[server]
