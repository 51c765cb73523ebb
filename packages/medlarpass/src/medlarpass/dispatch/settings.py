"""Settings of the request routing policies."""

from __future__ import annotations

from medlarpass.base import Value


class BalancerSettings(Value):
    """Settings of ``Balancer``.

    The defaults suit pools of 6 to 9 servers (see ``tools.measure``). With two choices the
    balancer shed more orders than ``LeastInFlightBalancer``, because the requests of one entry
    seldom differ between two servers. Any ``hint_limit`` above 0 gave a server that reports no
    load 1.2 to 1.3 times the mean utilisation.

    :param choices: number of servers compared per request
    :param max_peer_report_age: seconds after which a peer's report is ignored
    :param peer_report_decay_ratio: time constant of the decay of a peer's report, in units of
        the median latency of the pool
    :param hint_limit: maximum number of in-flight requests by which a server's own report raises
        the estimate of its load
    :param latency_weight: weight of the latest sample in the moving average of latency
    :param latency_decay_time: time constant of the decay of a latency without new samples, in
        seconds
    :param slow_ratio: multiple of the median latency above which a server is penalised
    :param base_backoff: maximum backoff after a first refusal, in seconds; doubles with each
        further refusal
    :param max_backoff: upper bound of the backoff, in seconds
    :param load_tolerance: difference in requests in flight up to which two servers count as equal
    """

    __slots__ = (
        "base_backoff",
        "choices",
        "hint_limit",
        "latency_decay_time",
        "latency_weight",
        "load_tolerance",
        "max_backoff",
        "max_peer_report_age",
        "peer_report_decay_ratio",
        "slow_ratio",
    )

    def __init__(
        self,
        choices: int = 8,
        max_peer_report_age: float = 2.0,
        peer_report_decay_ratio: float = 0.6,
        hint_limit: float = 0.0,
        latency_weight: float = 0.1,
        latency_decay_time: float = 10.0,
        slow_ratio: float = 1.5,
        base_backoff: float = 0.02,
        max_backoff: float = 2.0,
        load_tolerance: float = 0.25,
    ) -> None:
        self.choices = choices
        self.max_peer_report_age = max_peer_report_age
        self.peer_report_decay_ratio = peer_report_decay_ratio
        self.hint_limit = hint_limit
        self.latency_weight = latency_weight
        self.latency_decay_time = latency_decay_time
        self.slow_ratio = slow_ratio
        self.base_backoff = base_backoff
        self.max_backoff = max_backoff
        self.load_tolerance = load_tolerance


class LimiterSettings(Value):
    """Settings of ``ConcurrencyLimiter``.

    :param decrease: factor applied to the limit after a refusal or slow responses
    :param increase: fraction of a request by which a full window of timely responses raises the
        limit. Below a limit of 1 the increase is proportional to the limit: with a constant
        increase the limit rose faster than refusals could lower it
    :param min_limit: lower bound of the limit; requests are paced below a limit of 1
    :param slow_ratio: ratio of the recent to the long-term mean latency above which responses
        count as slow
    :param recent_weight: weight of the latest sample in the recent mean
    :param mean_weight: weight of the latest sample in the long-term mean
    """

    __slots__ = (
        "decrease",
        "increase",
        "mean_weight",
        "min_limit",
        "recent_weight",
        "slow_ratio",
    )

    def __init__(
        self,
        decrease: float = 0.7,
        increase: float = 0.05,
        min_limit: float = 0.1,
        slow_ratio: float = 2.0,
        recent_weight: float = 0.2,
        mean_weight: float = 0.02,
    ) -> None:
        self.decrease = decrease
        self.increase = increase
        self.min_limit = min_limit
        self.slow_ratio = slow_ratio
        self.recent_weight = recent_weight
        self.mean_weight = mean_weight


class QueueSettings(Value):
    """Settings of ``DeadlineQueue``.

    :param limit: maximum number of waiting requests
    :param interval_weight: weight of the latest sample in the mean departure interval
    """

    __slots__ = ("interval_weight", "limit")

    def __init__(self, limit: int = 64, interval_weight: float = 0.1) -> None:
        self.limit = limit
        self.interval_weight = interval_weight


class RetryBudgetSettings(Value):
    """Settings of ``RetryBudget``.

    :param ratio: retries allowed per request
    :param token_lifetime: seconds until the tokens of a request expire
    :param window: seconds of the short window in which the ratio holds too; one retry per window
        is always allowed
    """

    __slots__ = ("ratio", "token_lifetime", "window")

    def __init__(
        self, ratio: float = 0.1, token_lifetime: float = 10.0, window: float = 1.0
    ) -> None:
        self.ratio = ratio
        self.token_lifetime = token_lifetime
        self.window = window


class RetrySettings(Value):
    """Settings of ``RetryPolicy``.

    :param max_attempts: maximum number of attempts per request, including the first
    :param min_remaining: minimum time until the deadline for a retry, in seconds
    """

    __slots__ = ("max_attempts", "min_remaining")

    def __init__(self, max_attempts: int = 3, min_remaining: float = 0.005) -> None:
        self.max_attempts = max_attempts
        self.min_remaining = min_remaining


class EjectorSettings(Value):
    """Settings of ``Ejector``.

    :param consecutive_failures: number of consecutive failures that eject a server
    :param max_ejected_ratio: maximum share of the pool that is ejected at once
    :param base_ejection_time: seconds of a first ejection; doubles with each further ejection
    :param max_ejection_time: upper bound of an ejection, in seconds
    :param ramp: seconds of slow start after an ejection
    """

    __slots__ = (
        "base_ejection_time",
        "consecutive_failures",
        "max_ejected_ratio",
        "max_ejection_time",
        "ramp",
    )

    def __init__(
        self,
        consecutive_failures: int = 5,
        max_ejected_ratio: float = 0.34,
        base_ejection_time: float = 1.0,
        max_ejection_time: float = 60.0,
        ramp: float = 5.0,
    ) -> None:
        self.consecutive_failures = consecutive_failures
        self.max_ejected_ratio = max_ejected_ratio
        self.base_ejection_time = base_ejection_time
        self.max_ejection_time = max_ejection_time
        self.ramp = ramp


class SketchSettings(Value):
    """Settings of ``HotKeySketch``.

    :param capacity: maximum number of counters
    :param half_life: half-life of the weight of a request, in seconds
    """

    __slots__ = ("capacity", "half_life")

    def __init__(self, capacity: int = 512, half_life: float = 5.0) -> None:
        self.capacity = capacity
        self.half_life = half_life


class DetectorSettings(Value):
    """Settings of ``FailureDetector`` and ``SuspicionAgreement``.

    :param phi_threshold: suspicion level (phi) above which a server is suspected
    :param window_size: number of heartbeat intervals kept per server
    :param initial_interval: heartbeat interval assumed before the first measurement, in seconds
    :param min_deviation: lower bound of the standard deviation of intervals, in seconds
    :param max_unanswered_requests: number of consecutive unanswered requests from which a server is
        suspected
    :param tick_interval: seconds between two ticks of the observer
    :param pause_threshold: seconds between two ticks above which the observer counts as paused
    :param report_age_limit: seconds after which another observer's report is ignored
    """

    __slots__ = (
        "initial_interval",
        "max_unanswered_requests",
        "min_deviation",
        "pause_threshold",
        "phi_threshold",
        "report_age_limit",
        "tick_interval",
        "window_size",
    )

    def __init__(
        self,
        phi_threshold: float = 8.0,
        window_size: int = 100,
        initial_interval: float = 0.15,
        min_deviation: float = 0.02,
        max_unanswered_requests: int = 3,
        tick_interval: float = 0.05,
        pause_threshold: float = 0.2,
        report_age_limit: float = 0.5,
    ) -> None:
        self.phi_threshold = phi_threshold
        self.window_size = window_size
        self.initial_interval = initial_interval
        self.min_deviation = min_deviation
        self.max_unanswered_requests = max_unanswered_requests
        self.tick_interval = tick_interval
        self.pause_threshold = pause_threshold
        self.report_age_limit = report_age_limit
