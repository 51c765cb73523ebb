"""Decides which share of a pool's requests goes to servers of other failure domains."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from medlarpass.dispatch.domain_flows import DomainFlows

if TYPE_CHECKING:
    from collections.abc import Mapping

#: Shares of the requests by domain of the entries, then by domain of the servers, from 0 to 1.
DomainShares: TypeAlias = dict[str, dict[str, float]]

#: Utilisation up to which requests stay in their domain. With three slots a request waits 0.16
#: service times at a utilisation of 0.5, 1.1 at 0.8 and 2.7 at 0.9 (Erlang C). The way to another
#: domain takes only 2 x 1.4 ms, but the bytes cost a few percent to a third of what a request is
#: worth. Up to 0.8 the wait of 0.2 to 0.4 s fits in the target latency; above it the wait grows so
#: quickly that the target latency, and with it the worth of the request, would be lost.
HOME_UTILISATION = 0.8
#: Utilisation of the home domain above which other domains are loaded beyond 0.8. Up to here both
#: queues would be long, so that the cost of the bytes would save little time; above it the queue at
#: home grows without bound and servers reject requests.
OVERLOAD_UTILISATION = 1.0
#: Fraction of the distance to its target that a share moves in a period. The demand is known with a
#: delay of about a second, and a larger step would overshoot.
STEP_RATIO = 0.25
#: Share below which requests stay at home: a damped share never reaches zero.
MIN_SHARE = 0.005
#: Requests per second assumed where a domain without servers has no demand right now, so that its
#: entries know at once where to send the next request.
NOMINAL_DEMAND = 1e-6


def plan_shares(
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
    previous: DomainShares,
    has_rates: bool = True,
) -> DomainShares:
    """Return the shares of the next period.

    :param demand: requests per second by failure domain of the entries; empty while unknown
    :param capacity: requests per second that servers can handle, by their failure domain; a domain
        that is evacuated or has no servers has none
    :param previous: shares of the previous period
    :param has_rates: whether capacities are rates; otherwise they are only proportions, and only
        domains without capacity send requests elsewhere
    """
    total = sum(capacity.values())
    if not demand or total <= 0:
        return {}
    rates = {
        domain: max(demand.get(domain, 0.0), NOMINAL_DEMAND) for domain in {*demand, *capacity}
    }
    flows = _target_flows(rates, capacity, has_rates)
    damped = DomainFlows(rates, capacity)
    for domain, rate in rates.items():
        targets = _damped_shares(
            flows.rates[domain], rate, capacity, previous.get(domain, {}), domain
        )
        for target, share in targets.items():
            damped.add(domain, target, share * rate)
    # A share that shrinks slowly can cross one that grows in the other direction.
    damped.cancel_transit()
    shares = {
        domain: {
            target: flow / rates[domain]
            for target, flow in targets.items()
            if flow / rates[domain] >= MIN_SHARE
        }
        for domain, targets in damped.rates.items()
    }
    return {domain: targets for domain, targets in shares.items() if targets}


def _target_flows(
    demand: Mapping[str, float], capacity: Mapping[str, float], has_rates: bool
) -> DomainFlows:
    flows = DomainFlows(demand, capacity)
    homeless = [domain for domain in demand if capacity.get(domain, 0.0) <= 0]
    total = sum(capacity.values())
    # If the pool as a whole is overloaded, its domains are loaded equally: a limit on the requests
    # of the pool is the same for the entries of all domains, and the capacity of servers that do
    # not report their load is underestimated while they have queues.
    highest = max(OVERLOAD_UTILISATION, sum(demand.values()) / total)
    levels = (HOME_UTILISATION, highest) if has_rates else ()
    # Requests of a domain without servers have no alternative, so they take spare capacity first.
    for level in levels:
        flows.distribute(_rest(flows, homeless), flows.spare_below(level))
    for domain, rest in _rest(flows, homeless).items():
        for target, rate in capacity.items():
            if rate > 0:
                flows.add(domain, target, rest * rate / total)
    for level in levels:
        excess = flows.excess_above(level)
        flows.distribute(
            {domain: rate for domain, rate in excess.items() if domain not in homeless},
            flows.spare_below(level),
        )
    flows.cancel_transit()
    return flows


def _rest(flows: DomainFlows, domains: list[str]) -> dict[str, float]:
    """Return the requests per second that have no server yet."""
    return {domain: flows.demand[domain] - flows.sent_from(domain) for domain in domains}


def _damped_shares(
    flows: Mapping[str, float],
    demand: float,
    capacity: Mapping[str, float],
    previous: Mapping[str, float],
    domain: str,
) -> dict[str, float]:
    if capacity.get(domain, 0.0) <= 0:
        return {target: rate / demand for target, rate in flows.items()}
    shares: dict[str, float] = {}
    for target in {*flows, *previous}:
        if capacity.get(target, 0.0) > 0:
            share = previous.get(target, 0.0)
            shares[target] = share + STEP_RATIO * (flows.get(target, 0.0) / demand - share)
    return shares
