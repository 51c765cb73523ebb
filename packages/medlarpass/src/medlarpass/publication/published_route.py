"""A route of a publication."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from medlarpass.base import Value
from medlarpass.tables import Route
from medlarpass.tables.schema import METHODS

if TYPE_CHECKING:
    from medlarpass.publication.caller_limits import CallerLimits

#: Concurrent requests of one route at an entry; the servers are the tighter limit.
MAX_CONCURRENT_REQUEST_COUNT = 512
#: Requests that may wait for admission; further ones are refused immediately.
MAX_QUEUED_REQUEST_COUNT = 64


class PoolShare(Value):
    """A pool that gets a share of a route's requests.

    :param pool: name of the pool
    :param weight: share relative to the other weights of the route
    """

    __slots__ = ("pool", "weight")

    def __init__(self, pool: str, weight: float) -> None:
        self.pool = pool
        self.weight = weight


class PublishedRoute(Route):
    """A route selected by host and path prefix.

    :param name: unique name
    :param document: ``host``, ``prefix``, ``class``, ``timeout``, ``target``, ``priority``,
        ``attempts``, ``shares``
    :param limits: limits for callers
    :param key_header: header that holds the key of a request
    """

    __slots__ = ("max_attempts", "prefix", "priority", "shares", "target_latency")
    is_key_optional = True

    def __init__(
        self, name: str, document: dict[str, Any], limits: CallerLimits, key_header: str
    ) -> None:
        shares = [PoolShare(share["pool"], share["weight"]) for share in document["shares"]]
        super().__init__(
            name,
            {
                "host": document["host"],
                "path": document["prefix"],
                "methods": METHODS,
                "class": document["class"],
                "key": {"from": "header", "name": key_header},
                "pool": shares[0].pool,
                "deadline_ms": document["timeout"] * 1000,
                "limits": {
                    "concurrency": MAX_CONCURRENT_REQUEST_COUNT,
                    "queue": MAX_QUEUED_REQUEST_COUNT,
                    "body_bytes": limits.body_bytes,
                },
            },
        )
        self.prefix: str = document["prefix"]
        self.shares = tuple(shares)
        #: Target latency in seconds.
        self.target_latency: float = document["target"]
        #: Priority of the route; 0 is the highest.
        self.priority: int = document["priority"]
        #: Maximum number of servers that one request is sent to.
        self.max_attempts: int = document["attempts"]

    @property
    def pool_names(self) -> tuple[str, ...]:
        """Names of the pools that get a share of the requests."""
        return tuple(share.pool for share in self.shares if share.weight > 0)
