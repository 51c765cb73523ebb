"""Capacity of the servers of a pool by failure domain."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


class DomainCapacity:
    """Sums up the capacity of servers by failure domain.

    A server whose rate is unknown counts with the median of the known rates per slot. If no rate is
    known, the capacities are slots, which only state proportions.
    """

    __slots__ = ("domains", "servers")

    def __init__(self, domains: Iterable[str] = ()) -> None:
        #: Domains that are listed even if no server can take requests there.
        self.domains = set(domains)
        #: Domain, slots, known requests per second and upper limit of these, of each server.
        self.servers: list[tuple[str, int, float | None, float | None]] = []

    def add(
        self, domain: str, slots: int, rate: float | None, max_rate: float | None = None
    ) -> None:
        """Add a server that can take requests.

        :param rate: requests per second that the server can handle; None while unknown
        :param max_rate: requests per second that it may get while it is cold; None if it is warm
        """
        self.domains.add(domain)
        self.servers.append((domain, slots, rate, max_rate))

    @property
    def has_rates(self) -> bool:
        """Whether the capacities are requests per second and not only proportions."""
        return any(rate is not None for _, _, rate, _ in self.servers)

    def by_domain(self) -> dict[str, float]:
        """Return the capacity of each domain; 0 for a domain without servers."""
        rates = [rate / max(slots, 1) for _, slots, rate, _ in self.servers if rate is not None]
        rate_per_slot = median(rates) if rates else 1.0
        totals = dict.fromkeys(self.domains, 0.0)
        for domain, slots, rate, max_rate in self.servers:
            capacity = rate_per_slot * slots if rate is None else rate
            if rates and max_rate is not None:
                capacity = min(capacity, max_rate)
            totals[domain] += capacity
        return totals
