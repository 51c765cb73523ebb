"""The leader's view of when each domain last renewed its delegations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.drift import granted_term
from medlarpass.rpc import control_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass.clock import Clock
    from medlarpass.ownership.delegation_table import DelegationTable


class DelegationClock:
    """In-memory renewals of the present leader; created anew at each election.

    :param clock: the leader's clock
    """

    __slots__ = ("clock", "elected_at", "freeing", "renewals")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # The previous leader may have renewed every delegation up to this moment.
        self.elected_at = clock.now()
        self.renewals: dict[str, float] = {}
        self.freeing: set[str] = set()

    def renew(self, domain: str) -> None:
        """Note that a report is about to be confirmed, after its quorum round.

        :param domain: domain that reported
        """
        self.renewals[domain] = self.clock.now()

    def has_ended(self, domain: str, term: float) -> bool:
        """Tell whether the domain can no longer count on a delegation.

        :param domain: holder
        :param term: delegation term of the pool in seconds
        """
        renewed_at = self.renewals.get(domain, self.elected_at)
        return self.clock.now() >= renewed_at + granted_term(term)

    def start_freeing(
        self, table: DelegationTable, terms: Mapping[str, float]
    ) -> list[pb.FreeShards]:
        """Return commands that take back shards whose term has ended, at most one per domain.

        Until :meth:`finish_freeing`, the domain's reports must not be confirmed.

        :param table: applied state
        :param terms: delegation term in seconds by pool; shards of other pools stay
        """
        commands: dict[str, pb.FreeShards] = {}
        for (pool, shard), each in table.delegations.items():
            if each.domain is None or each.domain in self.freeing or pool not in terms:
                continue
            if not self.has_ended(each.domain, terms[pool]):
                continue
            command = commands.setdefault(each.domain, pb.FreeShards(domain=each.domain))
            command.shards.append(pb.ShardEpoch(pool=pool, shard=shard, epoch=each.epoch))
        self.freeing.update(commands)
        return list(commands.values())

    def finish_freeing(self, command: pb.FreeShards) -> None:
        """Note that a command has been applied, or is certain never to be.

        :param command: result of :meth:`start_freeing`
        """
        self.freeing.discard(command.domain)

    def may_confirm(self, domain: str) -> bool:
        """Tell whether a report may be confirmed.

        A confirmation between the decision to take shards back and its application would renew a
        delegation that is about to end.

        :param domain: domain that reported
        """
        return domain not in self.freeing
