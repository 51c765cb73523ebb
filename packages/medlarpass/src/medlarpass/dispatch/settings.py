"""Settings of the request path's policies."""

from __future__ import annotations

from medlarpass.base import Value


class BalancerSettings(Value):
    """Settings of ``Balancer``.

    The defaults were measured with ``tools.measure`` on pools of 6 to 9 servers. With two choices
    the balancer shed more orders than the choice of the least own requests in flight, because
    two servers seldom differ in what one entry sees. Any hint limit above 0 gave a server that
    tells no load 1.2 to 1.3 times the mean utilisation.

    :param choices: servers compared per choice
    :param peer_age_limit: seconds after which a peer's report is ignored
    :param peer_memory: age at which a peer's report counts 1/e, in units of the usual latency
    :param hint_limit: most in-flight requests by which a server's own report raises its estimate
    :param latency_weight: share of the newest sample in the moving mean of latency
    :param latency_memory: seconds without a sample after which a latency counts 1/e
    :param slow_ratio: latency above this multiple of the median counts against a server
    :param avoid_shortest: seconds a server is avoided after a first refusal
    :param avoid_longest: upper bound of that time, in seconds
    :param tolerance: requests in flight by which two servers differ and still count as equal
    """

    __slots__ = (
        "avoid_longest",
        "avoid_shortest",
        "choices",
        "hint_limit",
        "latency_memory",
        "latency_weight",
        "peer_age_limit",
        "peer_memory",
        "slow_ratio",
        "tolerance",
    )

    def __init__(
        self,
        choices: int = 8,
        peer_age_limit: float = 2.0,
        peer_memory: float = 0.6,
        hint_limit: float = 0.0,
        latency_weight: float = 0.1,
        latency_memory: float = 10.0,
        slow_ratio: float = 1.5,
        avoid_shortest: float = 0.02,
        avoid_longest: float = 2.0,
        tolerance: float = 0.25,
    ) -> None:
        self.choices = choices
        self.peer_age_limit = peer_age_limit
        self.peer_memory = peer_memory
        self.hint_limit = hint_limit
        self.latency_weight = latency_weight
        self.latency_memory = latency_memory
        self.slow_ratio = slow_ratio
        self.avoid_shortest = avoid_shortest
        self.avoid_longest = avoid_longest
        self.tolerance = tolerance


class LimiterSettings(Value):
    """Settings of ``ConcurrencyLimiter``.

    :param decrease: factor applied to the limit after a refusal or slow answers
    :param increase: part of a request by which one full window of good answers raises the limit.
        Below a limit of 1 the increase is in proportion to the limit: with a constant one the
        limit rose faster than refusals could lower it
    :param least: lower bound of the limit; below 1 requests are spaced in time
    :param slow_ratio: ratio of the recent to the long-term mean latency that counts as slow
    :param recent_weight: share of the newest sample in the recent mean
    :param mean_weight: share of the newest sample in the long-term mean
    """

    __slots__ = (
        "decrease",
        "increase",
        "least",
        "mean_weight",
        "recent_weight",
        "slow_ratio",
    )

    def __init__(
        self,
        decrease: float = 0.7,
        increase: float = 0.05,
        least: float = 0.1,
        slow_ratio: float = 2.0,
        recent_weight: float = 0.2,
        mean_weight: float = 0.02,
    ) -> None:
        self.decrease = decrease
        self.increase = increase
        self.least = least
        self.slow_ratio = slow_ratio
        self.recent_weight = recent_weight
        self.mean_weight = mean_weight


class QueueSettings(Value):
    """Settings of ``DeadlineQueue``.

    :param limit: most requests that wait
    :param interval_weight: share of the newest sample in the moving mean of departures
    """

    __slots__ = ("interval_weight", "limit")

    def __init__(self, limit: int = 64, interval_weight: float = 0.1) -> None:
        self.limit = limit
        self.interval_weight = interval_weight


class RetryBudgetSettings(Value):
    """Settings of ``RetryBudget``.

    :param ratio: retries allowed per request
    :param term: seconds until the allowance of a request expires
    :param window: seconds within which the ratio holds as well, apart from a single retry
    """

    __slots__ = ("ratio", "term", "window")

    def __init__(self, ratio: float = 0.1, term: float = 10.0, window: float = 1.0) -> None:
        self.ratio = ratio
        self.term = term
        self.window = window


class RetrySettings(Value):
    """Settings of ``RetryPolicy``.

    :param attempts: most attempts per request, the first included
    :param least_remaining: seconds that must remain until the deadline for a further attempt
    """

    __slots__ = ("attempts", "least_remaining")

    def __init__(self, attempts: int = 3, least_remaining: float = 0.005) -> None:
        self.attempts = attempts
        self.least_remaining = least_remaining


class EjectorSettings(Value):
    """Settings of ``Ejector``.

    :param consecutive: failures in a row that eject a server
    :param share: largest share of the pool that is ejected at once
    :param shortest: seconds of a first ejection
    :param longest: upper bound of an ejection, in seconds
    :param ramp: seconds over which a returned server regains its full weight
    """

    __slots__ = ("consecutive", "longest", "ramp", "share", "shortest")

    def __init__(
        self,
        consecutive: int = 5,
        share: float = 0.34,
        shortest: float = 1.0,
        longest: float = 60.0,
        ramp: float = 5.0,
    ) -> None:
        self.consecutive = consecutive
        self.share = share
        self.shortest = shortest
        self.longest = longest
        self.ramp = ramp


class SketchSettings(Value):
    """Settings of ``HotKeySketch``.

    :param capacity: counters kept
    :param half_life: seconds in which the weight of a request halves
    """

    __slots__ = ("capacity", "half_life")

    def __init__(self, capacity: int = 512, half_life: float = 5.0) -> None:
        self.capacity = capacity
        self.half_life = half_life


class DetectorSettings(Value):
    """Settings of ``FailureDetector`` and ``SuspicionAgreement``.

    :param threshold: suspicion level (phi) above which a server is suspected
    :param window: heartbeat intervals kept per server
    :param first_interval: seconds assumed between heartbeats before any was measured
    :param least_deviation: least standard deviation of intervals assumed, in seconds
    :param failed_requests: requests without answer in a row that make a server suspected
    :param tick: seconds between the observer's own ticks
    :param pause: seconds between two ticks above which the observer was paused
    :param report_age_limit: seconds after which another observer's report is ignored
    """

    __slots__ = (
        "failed_requests",
        "first_interval",
        "least_deviation",
        "pause",
        "report_age_limit",
        "threshold",
        "tick",
        "window",
    )

    def __init__(
        self,
        threshold: float = 8.0,
        window: int = 100,
        first_interval: float = 0.15,
        least_deviation: float = 0.02,
        failed_requests: int = 3,
        tick: float = 0.05,
        pause: float = 0.2,
        report_age_limit: float = 0.5,
    ) -> None:
        self.threshold = threshold
        self.window = window
        self.first_interval = first_interval
        self.least_deviation = least_deviation
        self.failed_requests = failed_requests
        self.tick = tick
        self.pause = pause
        self.report_age_limit = report_age_limit
