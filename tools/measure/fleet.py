"""Servers that come and go, the same for all policies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from tools.measure.deployment import Deployment
    from tools.measure.options import Options

SERVERS = 20
# A server is lost or stopped this often, in seconds, and its successor starts this much later.
EVENT_PERIOD = 30
RETURN_AFTER = 15
# Seconds in which a planned stop hands over all keys before the server leaves.
DRAIN = 3


class Member(Value):
    """A server at one moment.

    :param server: identity
    :param domain: number of the failure domain
    :param draining: whether it has to give away its keys
    """

    __slots__ = ("domain", "draining", "server")

    def __init__(self, server: str, domain: int, draining: bool = False) -> None:
        self.server = server
        self.domain = domain
        self.draining = draining


class Fleet:
    """Members by second.

    :param deployment: shape of the system
    :param seconds: length of the trace
    """

    __slots__ = ("seconds",)

    def __init__(self, deployment: Deployment, seconds: int) -> None:
        names = {f"s{n:02}": n % deployment.domains for n in range(SERVERS)}
        self.seconds = [
            {server: Member(server, domain) for server, domain in names.items()}
            for _ in range(seconds)
        ]

    def stop_and_start(self, options: Options) -> None:
        """Lose a server and stop another as planned, in turns; each returns a little later."""
        rng = options.rng("fleet")
        for number, at in enumerate(range(EVENT_PERIOD, len(self.seconds), EVENT_PERIOD)):
            server = f"s{rng.randrange(SERVERS):02}"
            planned = number % 2 == 1
            if planned:
                for members in self.seconds[at : at + DRAIN]:
                    members[server].draining = True
            begin = at + DRAIN if planned else at
            for members in self.seconds[begin : at + RETURN_AFTER]:
                del members[server]

    def lose_domain(self, domain: int) -> None:
        """Lose all servers of a domain for the middle third of the trace."""
        length = len(self.seconds)
        for members in self.seconds[length // 3 : 2 * length // 3]:
            for server in [each.server for each in members.values() if each.domain == domain]:
                del members[server]
