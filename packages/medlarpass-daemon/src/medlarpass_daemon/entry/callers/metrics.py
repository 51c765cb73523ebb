"""Metrics of the request path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import REGISTRY
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from medlarpass import Outcome

#: Upper bounds of the histogram buckets; the target is a p99 latency of 11 ms.
LATENCY_BUCKETS_SECONDS = (0.001, 0.002, 0.004, 0.007, 0.011, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0)


class CallersMetrics:
    """Counters of requests, refusals and retries, and the latency of requests.

    :param registry: registry of the process, or of a test
    """

    __slots__ = (
        "domain_attempts",
        "held_body_bytes",
        "in_flight",
        "invalid_loads",
        "labelled",
        "latency",
        "least_admitted",
        "limited",
        "not_accepting",
        "pool_refusals",
        "queued",
        "refusals",
        "requests",
        "retries",
    )

    def __init__(self, registry: CollectorRegistry = REGISTRY) -> None:
        #: Metrics by route and outcome; a lookup by label would take longer than the update.
        self.labelled: dict[tuple[str, Outcome], tuple[Counter, Histogram]] = {}
        self.requests = Counter(
            "medlarpass_requests",
            "Requests of callers that ended",
            ("route", "outcome"),
            registry=registry,
        )
        self.refusals = Counter(
            "medlarpass_refusals",
            "Requests that ended with an error of this entry",
            ("code",),
            registry=registry,
        )
        self.retries = Counter(
            "medlarpass_retries", "Further attempts at servers", ("route",), registry=registry
        )
        self.domain_attempts = Counter(
            "medlarpass_domain_attempts",
            "Attempts at servers of pools without owners, by the domain of the server",
            ("pool", "domain", "choice"),
            registry=registry,
        )
        self.in_flight = Gauge(
            "medlarpass_requests_in_flight", "Requests that have not ended", registry=registry
        )
        self.held_body_bytes = Gauge(
            "medlarpass_held_body_bytes",
            "Memory reserved for the bodies of requests in progress",
            registry=registry,
        )
        self.queued = Gauge(
            "medlarpass_requests_queued", "Requests that wait for their turn", registry=registry
        )
        self.not_accepting = Gauge(
            "medlarpass_servers_not_accepting",
            "Servers that have said that they leave or want no requests now",
            ("reason",),
            registry=registry,
        )
        self.invalid_loads = Counter(
            "medlarpass_invalid_server_loads",
            "Responses of servers with a load report that is malformed or out of range",
            registry=registry,
        )
        self.pool_refusals = Counter(
            "medlarpass_pool_refusals",
            "Requests refused because their pool is asked for more than it can serve",
            ("pool", "reason"),
            registry=registry,
        )
        self.limited = Gauge(
            "medlarpass_servers_limited",
            "Servers that get only a share of their requests from this entry",
            ("reason",),
            registry=registry,
        )
        self.least_admitted = Gauge(
            "medlarpass_least_admitted_share",
            "Least share of the requests for the keys of an owner that this entry sends",
            registry=registry,
        )
        self.least_admitted.set(1.0)
        self.latency = Histogram(
            "medlarpass_request_seconds",
            "Time from the arrival of a request to the end of its answer",
            ("route",),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        )

    def request_ended(self, route: str, outcome: Outcome, seconds: float) -> None:
        """Count a request that ended."""
        children = self.labelled.get((route, outcome))
        if children is None:
            children = (self.requests.labels(route, outcome.value), self.latency.labels(route))
            self.labelled[route, outcome] = children
        children[0].inc()
        children[1].observe(seconds)
