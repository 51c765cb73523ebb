"""Prefers servers by failure domain and subset, in pools without owners."""

from __future__ import annotations

import random

from copy import copy
from typing import TYPE_CHECKING

from medlarpass.dispatch import DomainChoice
from medlarpass.dispatch import ServerSubset
from medlarpass.dispatch import subset_size
from medlarpass_daemon.entry.callers.events import DOMAIN_WITHOUT_SERVERS
from medlarpass_daemon.entry.callers.events import TRAFFIC_PLAN_OUTDATED
from medlarpass_daemon.entry.callers.preferred_servers import PreferredServers

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence
    from collections.abc import Set

    from medlarpass import Clock
    from medlarpass_daemon.entry.callers.interfaces import Target
    from medlarpass_daemon.entry.callers.metrics import CallersMetrics
    from medlarpass_daemon.entry.callers.server_selector import ServerSelector

#: Number of servers that are compared for a request. In the model of ``test_subset_model.py`` two
#: gave longer waits at utilisations of 0.5 and 0.75, and four none that were clearly shorter.
SUBSET_CHOICE_COUNT = 3
#: Minimum interval between two log lines on the same pool and domain.
LOG_INTERVAL_SECONDS = 5.0
#: Smallest weight of a server, which rounding in control could make zero.
MIN_WEIGHT = 0.001


class DomainRouter:
    """Chooses the domain of each request by the plan of control, and prefers a subset there.

    :param entry: name of this entry
    :param domain: failure domain of this entry
    :param shares_of: returns the shares of other domains for a pool and a domain of entries, None
        without a recent plan
    :param selector: concurrency limits and health of the servers
    :param clock: source of time
    :param metrics: metrics of the request path
    """

    __slots__ = (
        "choices",
        "clock",
        "domain",
        "has_plan",
        "logged_at",
        "metrics",
        "preferred",
        "selector",
        "shares_of",
        "subset",
    )

    def __init__(
        self,
        entry: str,
        domain: str,
        shares_of: Callable[[str, str], Mapping[str, float] | None],
        selector: ServerSelector,
        clock: Clock,
        metrics: CallersMetrics,
    ) -> None:
        self.domain = domain
        self.shares_of = shares_of
        self.selector = selector
        self.clock = clock
        self.metrics = metrics
        self.subset = ServerSubset(entry)
        self.choices: dict[str, DomainChoice] = {}
        #: Preferred servers by pool and domain.
        self.preferred: dict[tuple[str, str], PreferredServers] = {}
        self.has_plan = True
        #: Clock reading of the last log line, by pool and domain.
        self.logged_at: dict[tuple[str, str], float] = {}
        selector.many_entries_choices = SUBSET_CHOICE_COUNT
        selector.use_subset_balancer()

    def next_domain(self, pool: str) -> str:
        """Return the domain for the next request; without a recent plan that of this entry.

        :param pool: name of the pool
        """
        shares = self.shares_of(pool, self.domain)
        if (shares is not None) != self.has_plan:
            self.has_plan = shares is not None
            TRAFFIC_PLAN_OUTDATED.log(outdated=not self.has_plan)
        if not shares:
            return self.domain
        choice = self.choices.get(pool)
        if choice is None:
            choice = self.choices[pool] = DomainChoice(self.domain, shares, random.random())
        choice.set_shares(shares)
        return choice.next()

    def prefer(
        self, pool: str, domain: str, targets: Sequence[Target], tried: Set[str]
    ) -> Sequence[Target]:
        """Return the servers for a request, from the most preferred group that accepts it.

        These are the subset of the chosen domain, its other servers, those of the own domain, and
        all servers.

        :param pool: name of the pool
        :param domain: chosen failure domain
        :param targets: servers that may get new requests
        :param tried: identities of servers used by earlier attempts
        """
        if len(targets) == 1 and self._is_limited_cold(targets[0]):
            # The attempt belongs to the share of this server, whichever domain it is in.
            return targets
        preferred = self._preferred(pool, domain, targets).targets
        in_subset = self._accepting(preferred.values(), tried)
        if in_subset:
            return in_subset
        in_domain = [target for target in targets if target.domain == domain]
        accepting = self._accepting(in_domain, tried)
        if accepting:
            return accepting
        self._log_without_servers(pool, domain, len(in_domain))
        if domain != self.domain:
            accepting = self._accepting(
                [target for target in targets if target.domain == self.domain], tried
            )
        return accepting or targets

    def record(self, pool: str, domain: str, target: Target) -> None:
        """Count an attempt by where it goes.

        :param domain: chosen failure domain
        """
        if self._is_limited_cold(target):
            choice = "cold"
        elif target.domain != domain:
            choice = "fallback"
        elif self.keeps_connections(pool, target):
            choice = "subset"
        else:
            choice = "domain"
        self.metrics.domain_attempts.labels(pool, target.domain, choice).inc()

    def keeps_connections(self, pool: str, target: Target) -> bool:
        """Return whether idle connections to a server are kept, because it is preferred."""
        preferred = self.preferred.get((pool, target.domain))
        return preferred is not None and target.identity in preferred.targets

    def retain(self, pools: Set[str]) -> None:
        """Drop the state of pools that were deleted."""
        for name in self.choices.keys() - pools:
            del self.choices[name]
        for key in [key for key in self.preferred if key[0] not in pools]:
            del self.preferred[key]
        for key in [key for key in self.logged_at if key[0] not in pools]:
            del self.logged_at[key]

    def _preferred(self, pool: str, domain: str, targets: Sequence[Target]) -> PreferredServers:
        entry_count = self.selector.entry_count
        known = self.preferred.get((pool, domain))
        if known is not None and known.is_current(targets, entry_count):
            return known
        in_domain = {target.identity: target for target in targets if target.domain == domain}
        domain_count = len({target.domain for target in targets})
        size = subset_size(len(in_domain), entry_count / max(domain_count, 1))
        weights = self.subset.choose(
            {identity: max(target.weight, MIN_WEIGHT) for identity, target in in_domain.items()},
            size,
        )
        preferred = PreferredServers(
            targets,
            entry_count,
            {
                identity: _with_weight(in_domain[identity], weight)
                for identity, weight in weights.items()
            },
        )
        sharing = entry_count / max(domain_count, 1) * size / max(len(in_domain), 1)
        self._set_sharing(known, preferred, sharing)
        self.preferred[pool, domain] = preferred
        return preferred

    def _set_sharing(
        self, previous: PreferredServers | None, preferred: PreferredServers, entries: float
    ) -> None:
        """Tell the limits how many entries prefer the same servers.

        Otherwise the entries together would use too few slots of an overloaded server, and send
        requests to other domains although it could run them.
        """
        sharing = self.selector.sharing_entries
        if previous is not None:
            for identity in previous.targets:
                sharing.pop(identity, None)
        if entries > 0:
            sharing.update(dict.fromkeys(preferred.targets, max(entries, 1.0)))

    def _is_limited_cold(self, target: Target) -> bool:
        return target.admitted is not None and target.cold_until > self.clock.now()

    def _accepting(self, targets: Iterable[Target], tried: Set[str]) -> list[Target]:
        return [target for target in targets if self.selector.accepts_attempt(target, tried)]

    def _log_without_servers(self, pool: str, domain: str, known: int) -> None:
        now = self.clock.now()
        if now - self.logged_at.get((pool, domain), -LOG_INTERVAL_SECONDS) < LOG_INTERVAL_SECONDS:
            return
        self.logged_at[pool, domain] = now
        DOMAIN_WITHOUT_SERVERS.log(pool=pool, domain=domain, servers=known)


def _with_weight(target: Target, weight: float) -> Target:
    weighted = copy(target)
    weighted.weight = weight
    return weighted
