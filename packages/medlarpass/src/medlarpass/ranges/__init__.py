"""Ranges of integer keys that control assigns to servers."""

from __future__ import annotations

from medlarpass.ranges.capacity_planner import CapacityPlanner
from medlarpass.ranges.density_loads import DensityLoads
from medlarpass.ranges.evacuation_pace import move_allowance
from medlarpass.ranges.evacuation_pace import select_moves
from medlarpass.ranges.evacuation_planner import plan_evacuation
from medlarpass.ranges.grant_expiry_tracker import GrantExpiryTracker
from medlarpass.ranges.key_intervals import KeyIntervals
from medlarpass.ranges.key_loads import KeyLoads
from medlarpass.ranges.pool_loads import PoolLoads
from medlarpass.ranges.pool_ranges import PoolRanges
from medlarpass.ranges.range_assignment import KEY_COUNT
from medlarpass.ranges.range_assignment import RangeAssignment
from medlarpass.ranges.range_assignment import overlapping
from medlarpass.ranges.range_assignment import parts_outside
from medlarpass.ranges.range_loads import RangeLoads
from medlarpass.ranges.range_planner import PlannerServer
from medlarpass.ranges.range_planner import RangePlanner
from medlarpass.ranges.range_planner import apply_moves
from medlarpass.ranges.range_planner import plan_rebalancing
from medlarpass.ranges.range_planner import server_loads
from medlarpass.ranges.range_table import RangeTable
from medlarpass.ranges.server_speeds import ServerSpeeds

__all__ = [
    "KEY_COUNT",
    "CapacityPlanner",
    "DensityLoads",
    "GrantExpiryTracker",
    "KeyIntervals",
    "KeyLoads",
    "PlannerServer",
    "PoolLoads",
    "PoolRanges",
    "RangeAssignment",
    "RangeLoads",
    "RangePlanner",
    "RangeTable",
    "ServerSpeeds",
    "apply_moves",
    "move_allowance",
    "overlapping",
    "parts_outside",
    "plan_evacuation",
    "plan_rebalancing",
    "select_moves",
    "server_loads",
]
