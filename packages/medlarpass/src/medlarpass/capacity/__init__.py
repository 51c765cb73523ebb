"""Capacity of servers and admission of requests; no network."""

from __future__ import annotations

from medlarpass.capacity.pool_admission import PoolAdmission
from medlarpass.capacity.priority_limit import PriorityLimit

__all__ = [
    "PoolAdmission",
    "PriorityLimit",
]
