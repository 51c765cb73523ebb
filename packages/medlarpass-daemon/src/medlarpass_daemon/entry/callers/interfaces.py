"""Interfaces that the request path requires from the rest of the entry."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from medlarpass import Value

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from medlarpass.rpc import control_pb2
    from medlarpass.tables import Pool
    from medlarpass.tables import Route


class Target(Value):
    """A server that a request may be sent to.

    :param identity: identity of the server
    :param incarnation: integer that grows with each start of the server
    :param ip: IP number
    :param port: TCP port
    :param slots: maximum number of requests that the server runs concurrently
    :param connections: maximum number of connections from all entries together
    :param shard: shard of the key, for owned keys
    :param fence: fence of the grant, for owned keys
    :param domain: failure domain of the server, empty if it is not relevant
    :param weight: weight for the choice among the servers of the pool
    :param cold_until: clock reading until which requests are limited because the server is cold;
        0 for a warm one
    :param admitted: for the owner of a key, share of the requests for its keys that are sent to it;
        otherwise, while the server is cold, its share of the requests of the pool. None for no
        limit
    """

    __slots__ = (
        "admitted",
        "cold_until",
        "connections",
        "domain",
        "fence",
        "identity",
        "incarnation",
        "ip",
        "port",
        "shard",
        "slots",
        "weight",
    )

    def __init__(
        self,
        identity: str,
        incarnation: int,
        ip: str,
        port: int,
        slots: int,
        connections: int,
        shard: int | None = None,
        fence: int | None = None,
        domain: str = "",
        weight: float = 1.0,
        cold_until: float = 0.0,
        admitted: float | None = None,
    ) -> None:
        self.identity = identity
        self.incarnation = incarnation
        self.ip = ip
        self.port = port
        self.slots = slots
        self.connections = connections
        self.shard = shard
        self.fence = fence
        self.domain = domain
        self.weight = weight
        self.cold_until = cold_until
        self.admitted = admitted


class Matcher(Protocol):
    """Finds the route of a request."""

    def find(self, host: str, path: str, method: str) -> Route:
        """Return the route of a request.

        :raises RouteNotFoundError: when no route matches
        """
        ...


class RoutingTable(Protocol):
    """The configuration in force."""

    @property
    def matcher(self) -> Matcher:
        """Matcher for the routes."""
        ...

    @property
    def pools(self) -> Mapping[str, Pool]:
        """Pools by name."""
        ...

    def pool_of(self, route: Route) -> Pool:
        """Return the pool for the next request of a route."""
        ...

    @property
    def revision(self) -> int:
        """Revision of the configuration; only increases."""
        ...


class OwnerDirectory(Protocol):
    """The owners of keys according to this entry's view."""

    def owner_of(self, pool: Pool, key: str) -> Target:
        """Return the server that owns a key, with shard and fence.

        :raises NoOwnerError: when no server currently owns the key
        :raises ServersEvacuatedError: when its owner is evacuated and gets no more requests
        """
        ...

    @property
    def cancels_attempts_on_owner_change(self) -> bool:
        """Whether a response is discarded once its server has lost the key."""
        ...

    def is_current(self, pool: Pool, key: str, target: Target) -> bool:
        """Return whether the target still owns the key under the same fence."""
        ...

    async def wait_for_change(self, timeout: float) -> None:
        """Wait for the next change of any owner, at most ``timeout`` seconds."""
        ...


class ServerDirectory(Protocol):
    """The servers of the pools."""

    def available_servers(self, pool_name: str) -> Sequence[Target]:
        """Return the servers that accept new requests.

        Draining, leaving and stale servers are never included.

        :raises ServersEvacuatedError: the only servers of the pool are in evacuated domains
        """
        ...

    def may_send_to(self, target: Target) -> bool:
        """Return whether a request that is not sent yet may go to a chosen server."""
        ...


class OrderClaims(Protocol):
    """Claims of orders in the control log.

    All calls may be repeated with the same attempt.
    """

    async def claim(
        self, route: str, idempotency_key: str, digest: bytes, attempt: str, deadline: float
    ) -> control_pb2.ClaimResult:
        """Claim an order for one attempt.

        :param route: name of the route
        :param digest: digest of method, path, query and body
        :param attempt: id of the attempt
        :param deadline: clock reading after which the claim is no longer needed
        :raises LedgerUnavailableError: when the result could not be confirmed
        """
        ...

    async def complete(
        self, route: str, idempotency_key: str, attempt: str, answer: control_pb2.RecordedAnswer
    ) -> None:
        """Record the response to an order.

        :raises LedgerUnavailableError: when the record could not be confirmed
        """
        ...

    async def release(self, route: str, idempotency_key: str, attempt: str) -> None:
        """Release a claim whose order was not run.

        :raises LedgerUnavailableError: when the release could not be confirmed
        """
        ...


class PeerLoads(Protocol):
    """In-flight requests of the other entries of the domain."""

    def in_flight(self, server: str, now: float, decay_time: float | None = None) -> float:
        """Return the peers' requests in flight at a server.

        :param server: identity of the server
        :param now: clock reading
        :param decay_time: time constant of the exponential decay, in seconds; None for no decay
        """
        ...
