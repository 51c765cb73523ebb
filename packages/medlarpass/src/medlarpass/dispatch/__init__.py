"""Request routing policies: load balancing, admission, retries and failure detection; no I/O."""

from __future__ import annotations

from medlarpass.dispatch.attempt import Attempt
from medlarpass.dispatch.attempt_outcome import AttemptOutcome
from medlarpass.dispatch.balancer import Balancer
from medlarpass.dispatch.balancer_baselines import BaselineBalancer
from medlarpass.dispatch.balancer_baselines import LeastInFlightBalancer
from medlarpass.dispatch.balancer_baselines import LeastReportedBalancer
from medlarpass.dispatch.balancer_baselines import RandomBalancer
from medlarpass.dispatch.balancer_baselines import RoundRobinBalancer
from medlarpass.dispatch.balancer_baselines import TwoChoicesBalancer
from medlarpass.dispatch.candidate import Candidate
from medlarpass.dispatch.concurrency_limiter import ConcurrencyLimiter
from medlarpass.dispatch.connection_budget import ConnectionBudget
from medlarpass.dispatch.deadline_queue import DeadlineQueue
from medlarpass.dispatch.demand_counter import DemandCounter
from medlarpass.dispatch.domain_capacity import DomainCapacity
from medlarpass.dispatch.domain_choice import DomainChoice
from medlarpass.dispatch.domain_flows import DomainFlows
from medlarpass.dispatch.domain_plan import DomainShares
from medlarpass.dispatch.domain_plan import plan_shares
from medlarpass.dispatch.ejector import EjectionRecord
from medlarpass.dispatch.ejector import Ejector
from medlarpass.dispatch.exceptions import DeadlineTooCloseError
from medlarpass.dispatch.exceptions import DispatchError
from medlarpass.dispatch.exceptions import NoServerError
from medlarpass.dispatch.exceptions import QueueFullError
from medlarpass.dispatch.exceptions import UnknownRouteError
from medlarpass.dispatch.failure_detector import FailureDetector
from medlarpass.dispatch.fair_share import FairShare
from medlarpass.dispatch.fair_share import RouteShare
from medlarpass.dispatch.heartbeat_history import HeartbeatHistory
from medlarpass.dispatch.hot_key_sketch import HotKey
from medlarpass.dispatch.hot_key_sketch import HotKeyReport
from medlarpass.dispatch.hot_key_sketch import HotKeySketch
from medlarpass.dispatch.pause_monitor import PauseMonitor
from medlarpass.dispatch.peer_loads import PeerLoads
from medlarpass.dispatch.pool_demands import PoolDemands
from medlarpass.dispatch.reported_load import ReportedLoads
from medlarpass.dispatch.request_kinds import Download
from medlarpass.dispatch.request_kinds import Enquiry
from medlarpass.dispatch.request_kinds import Order
from medlarpass.dispatch.request_kinds import RequestKind
from medlarpass.dispatch.request_kinds import Upload
from medlarpass.dispatch.request_kinds import kind_of
from medlarpass.dispatch.response_times import ResponseTimes
from medlarpass.dispatch.retry_budget import RetryBudget
from medlarpass.dispatch.retry_policy import RetryDecision
from medlarpass.dispatch.retry_policy import RetryPolicy
from medlarpass.dispatch.server_load import ServerLoad
from medlarpass.dispatch.server_load_report import ServerLoadReport
from medlarpass.dispatch.server_subset import ServerSubset
from medlarpass.dispatch.server_subset import subset_size
from medlarpass.dispatch.server_weights import ServerWeights
from medlarpass.dispatch.settings import BalancerSettings
from medlarpass.dispatch.settings import DetectorSettings
from medlarpass.dispatch.settings import EjectorSettings
from medlarpass.dispatch.settings import LimiterSettings
from medlarpass.dispatch.settings import QueueSettings
from medlarpass.dispatch.settings import RetryBudgetSettings
from medlarpass.dispatch.settings import RetrySettings
from medlarpass.dispatch.settings import SketchSettings
from medlarpass.dispatch.share_steps import rounded_shares
from medlarpass.dispatch.shared_server_limiter import SharedServerLimiter
from medlarpass.dispatch.slow_start import SlowStart
from medlarpass.dispatch.subset_balancer import SubsetBalancer
from medlarpass.dispatch.suspicion_agreement import ObserverReport
from medlarpass.dispatch.suspicion_agreement import SuspicionAgreement
from medlarpass.tables import RequestClass

__all__ = [
    "Attempt",
    "AttemptOutcome",
    "Balancer",
    "BalancerSettings",
    "BaselineBalancer",
    "Candidate",
    "ConcurrencyLimiter",
    "ConnectionBudget",
    "DeadlineQueue",
    "DemandCounter",
    "DeadlineTooCloseError",
    "DetectorSettings",
    "DispatchError",
    "DomainCapacity",
    "DomainChoice",
    "DomainFlows",
    "DomainShares",
    "Download",
    "EjectionRecord",
    "Ejector",
    "EjectorSettings",
    "Enquiry",
    "FailureDetector",
    "FairShare",
    "HeartbeatHistory",
    "HotKey",
    "HotKeyReport",
    "HotKeySketch",
    "LeastInFlightBalancer",
    "LeastReportedBalancer",
    "LimiterSettings",
    "NoServerError",
    "ObserverReport",
    "Order",
    "PauseMonitor",
    "PeerLoads",
    "PoolDemands",
    "QueueFullError",
    "QueueSettings",
    "RandomBalancer",
    "RequestClass",
    "RequestKind",
    "ReportedLoads",
    "ResponseTimes",
    "RetryBudget",
    "RetryBudgetSettings",
    "RetryDecision",
    "RetryPolicy",
    "RetrySettings",
    "RoundRobinBalancer",
    "RouteShare",
    "ServerLoad",
    "ServerLoadReport",
    "ServerSubset",
    "ServerWeights",
    "SharedServerLimiter",
    "SketchSettings",
    "SlowStart",
    "SubsetBalancer",
    "SuspicionAgreement",
    "TwoChoicesBalancer",
    "UnknownRouteError",
    "Upload",
    "kind_of",
    "plan_shares",
    "rounded_shares",
    "subset_size",
]
