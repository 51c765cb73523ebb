"""Capacity of servers, and the admission of requests that follows from it."""

from __future__ import annotations

from medlarpass.capacity.cold_time import ColdTime
from medlarpass.capacity.demand_rates import DemandRates
from medlarpass.capacity.demand_rates import counted_seconds
from medlarpass.capacity.peak_rate import PeakRate
from medlarpass.capacity.planner_weights import CapacityWeights
from medlarpass.capacity.planner_weights import limit_cold_weights
from medlarpass.capacity.pool_admission import PoolAdmission
from medlarpass.capacity.pool_traffic import PoolTraffic
from medlarpass.capacity.pool_traffic import ServerTraffic
from medlarpass.capacity.priority_limit import PriorityLimit
from medlarpass.capacity.server_admission import ServerAdmission
from medlarpass.capacity.server_capacity import ServerCapacity

__all__ = [
    "CapacityWeights",
    "ColdTime",
    "DemandRates",
    "PeakRate",
    "PoolAdmission",
    "PoolTraffic",
    "PriorityLimit",
    "ServerAdmission",
    "ServerCapacity",
    "ServerTraffic",
    "counted_seconds",
    "limit_cold_weights",
]
