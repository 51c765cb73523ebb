"""Prometheus metrics of a process."""

from __future__ import annotations

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import ProcessCollector

#: Upper bounds of the buckets; finer around the limits for a planned move (0.1 s) and a loss (1 s).
UNAVAILABLE_BUCKETS_SECONDS = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    0.75,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
    60.0,
)


class Metrics:
    """Metrics of a process in a separate registry.

    Metrics of roles that the process does not have stay without samples.

    The metrics of the request path are defined in its own package and use the same registry.

    Label values are names from the tables, the settings and fixed lists, never keys or request ids,
    so that the number of time series stays bounded.
    """

    __slots__ = (
        "configuration_revision",
        "coordinator_lease",
        "delegated_shards",
        "domain_share_leaving",
        "evacuated_domains",
        "grant_changes",
        "imbalance",
        "log_lines_dropped",
        "loop_lag",
        "ready",
        "registry",
        "replication_lag",
        "replication_leader",
        "server_sessions",
        "server_utilisation",
        "session_remaining",
        "unavailable_intervals",
        "unavailable_seconds",
    )

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self._add_load_metrics()
        self._add_ownership_metrics()
        self._add_control_metrics()

    def _add_load_metrics(self) -> None:
        self.imbalance = self._gauge(
            "imbalance_ratio", "Largest utilisation of a server divided by the mean", "pool"
        )
        self.server_utilisation = self._gauge(
            "server_load_per_slot", "Requests per second of owned keys per slot", "pool", "server"
        )
        self.grant_changes = self._counter(
            "grant_changes", "Changes of the owner of a shard or hot key", "pool", "reason"
        )
        self.unavailable_intervals = self._histogram(
            "unavailable_interval_seconds",
            "Time during which a key had no owner that could serve",
            UNAVAILABLE_BUCKETS_SECONDS,
            "pool",
            "reason",
        )
        self.unavailable_seconds = self._counter(
            "unavailable_shard_seconds", "Sum over shards of the time without an owner", "pool"
        )

    def _add_ownership_metrics(self) -> None:
        self.server_sessions = self._gauge("server_sessions", "Valid sessions of servers", "domain")
        self.session_remaining = self._gauge(
            "least_session_remaining_seconds", "Least remaining term of a server session", "domain"
        )
        self.coordinator_lease = self._gauge(
            "coordinator_lease_held", "1 when this entry holds the coordinator lease", "domain"
        )
        self.delegated_shards = self._gauge(
            "delegated_shards", "Shards delegated to the failure domain", "pool", "domain"
        )

    def _add_control_metrics(self) -> None:
        self.replication_lag = self._gauge(
            "replication_lag_records", "Log records that a replica is behind the leader", "replica"
        )
        self.replication_leader = self._gauge(
            "replication_leader", "1 when this replica is the leader of the control log"
        )
        self.evacuated_domains = self._gauge(
            "evacuated_domains", "Failure domains that are evacuated according to the control log"
        )
        self.configuration_revision = self._gauge(
            "configuration_revision", "Revision of the configuration in force here"
        )
        self.domain_share_leaving = self._gauge(
            "domain_share_leaving",
            "Share of the requests of a domain that entries send to servers of other domains",
            "pool",
            "domain",
        )
        self.ready = self._gauge("ready", "1 when the process is ready")
        self.loop_lag = self._histogram(
            "event_loop_lag_seconds",
            "How late a timer of the event loop ran",
            UNAVAILABLE_BUCKETS_SECONDS,
        )
        self.log_lines_dropped = self._counter("log_lines_dropped", "Log lines that were lost")

    def _gauge(self, name: str, description: str, *labels: str) -> Gauge:
        return Gauge(f"medlarpass_{name}", description, labels, registry=self.registry)

    def _counter(self, name: str, description: str, *labels: str) -> Counter:
        return Counter(f"medlarpass_{name}", description, labels, registry=self.registry)

    def _histogram(
        self, name: str, description: str, buckets: tuple[float, ...], *labels: str
    ) -> Histogram:
        return Histogram(
            f"medlarpass_{name}", description, labels, registry=self.registry, buckets=buckets
        )
