"""Requests of a pool that leave their failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class DomainFlows:
    """Rates of the requests that entries of a failure domain send to servers of another one.

    :param demand: requests per second by failure domain of the entries
    :param capacity: requests per second that the servers can handle, by their failure domain
    """

    __slots__ = ("capacity", "demand", "rates")

    def __init__(self, demand: Mapping[str, float], capacity: Mapping[str, float]) -> None:
        self.demand = demand
        self.capacity = capacity
        #: Requests per second by domain of the entries, then by domain of the servers.
        self.rates: dict[str, dict[str, float]] = {domain: {} for domain in demand}

    def add(self, source: str, target: str, rate: float) -> None:
        """Add requests per second from one domain to another one."""
        rates = self.rates[source]
        rates[target] = rates.get(target, 0.0) + rate

    def sent_from(self, domain: str) -> float:
        """Return the requests per second that leave a domain."""
        return sum(self.rates.get(domain, {}).values())

    def load_of(self, domain: str) -> float:
        """Return the requests per second that the servers of a domain get."""
        received = sum(rates.get(domain, 0.0) for rates in self.rates.values())
        return self.demand.get(domain, 0.0) - self.sent_from(domain) + received

    def excess_above(self, level: float) -> dict[str, float]:
        """Return by how much the load of domains exceeds a level, as far as it is their own.

        :param level: utilisation
        """
        excess: dict[str, float] = {}
        for domain, demand in self.demand.items():
            limit = level * self.capacity.get(domain, 0.0)
            rate = min(demand - self.sent_from(domain), self.load_of(domain) - limit)
            if rate > 0:
                excess[domain] = rate
        return excess

    def spare_below(self, level: float) -> dict[str, float]:
        """Return the requests per second that domains can take up to a level.

        :param level: utilisation
        """
        spare = {
            domain: level * capacity - self.load_of(domain)
            for domain, capacity in self.capacity.items()
            if capacity > 0
        }
        return {domain: rate for domain, rate in spare.items() if rate > 0}

    def distribute(self, excess: Mapping[str, float], spare: Mapping[str, float]) -> None:
        """Send the excess of domains to others in proportion to the spare capacity of those.

        What exceeds the spare capacity stays where it is, in equal parts of each excess.
        """
        total_excess, total_spare = sum(excess.values()), sum(spare.values())
        if total_excess <= 0 or total_spare <= 0:
            return
        ratio = min(1.0, total_spare / total_excess)
        for source, rate in excess.items():
            for target, room in spare.items():
                self.add(source, target, rate * ratio * room / total_spare)

    def cancel_transit(self) -> None:
        """Redirect requests so that no domain both sends requests away and receives others.

        The loads stay the same; requests that would return to their own domain stay there.
        """
        for domain in self.rates:
            received = {
                source: rates[domain]
                for source, rates in self.rates.items()
                if rates.get(domain, 0.0) > 0
            }
            sent = self.sent_from(domain)
            total = sum(received.values())
            if sent <= 0 or total <= 0:
                continue
            moved = min(sent, total)
            outgoing = dict(self.rates[domain])
            for target, rate in outgoing.items():
                self.rates[domain][target] = rate * (1.0 - moved / sent)
            for source, rate in received.items():
                self.rates[source][domain] = rate * (1.0 - moved / total)
                for target, outgoing_rate in outgoing.items():
                    if target != source:
                        self.add(source, target, moved * (rate / total) * (outgoing_rate / sent))
