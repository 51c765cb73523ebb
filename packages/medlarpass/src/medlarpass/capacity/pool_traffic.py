"""Servers of one pool and their load, from which their limits follow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from collections.abc import Sequence


class ServerTraffic(Value):
    """Load and capacity of one server; rates in requests per second.

    :param identity: identity of the server
    :param slots: requests that it runs concurrently
    :param is_cold: whether it is cold
    :param capacity: what it can handle; None while unknown
    :param offered: recent requests for its keys
    :param steady: requests for its keys over a longer time
    :param is_queueing: whether most requests queue at it
    """

    __slots__ = (
        "capacity",
        "identity",
        "is_cold",
        "is_queueing",
        "offered",
        "slots",
        "steady",
    )

    def __init__(
        self,
        identity: str,
        slots: int,
        is_cold: bool,
        capacity: float | None = None,
        offered: float = 0.0,
        steady: float = 0.0,
        is_queueing: bool = False,
    ) -> None:
        self.identity = identity
        self.slots = slots
        self.is_cold = is_cold
        self.capacity = capacity
        self.offered = offered
        self.steady = steady
        self.is_queueing = is_queueing


class PoolTraffic(Value):
    """Load of one pool.

    :param pool: name of the pool
    :param owned: whether servers own its keys
    :param warmup_rate: requests per second that a cold server can handle; None for no limit
    :param servers: its servers
    :param demand: requests per second of the whole pool
    :param is_known: whether the rates are known; a new leader has none yet
    """

    __slots__ = ("demand", "is_known", "owned", "pool", "servers", "warmup_rate")

    def __init__(
        self,
        pool: str,
        owned: bool,
        warmup_rate: float | None,
        servers: Sequence[ServerTraffic],
        demand: float = 0.0,
        is_known: bool = True,
    ) -> None:
        self.pool = pool
        self.owned = owned
        self.warmup_rate = warmup_rate
        self.servers = servers
        self.demand = demand
        self.is_known = is_known
