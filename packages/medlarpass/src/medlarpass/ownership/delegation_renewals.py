"""Time of each domain's last delegation renewal, as the control leader knows it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.ownership.drift import grantor_term
from medlarpass.rpc import control_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass.clock import Clock
    from medlarpass.ownership.delegation_table import DelegationTable


class DelegationRenewals:
    """Renewals that the current control leader keeps in memory; created anew at each election.

    :param clock: the leader's clock
    """

    __slots__ = ("clock", "domains_being_freed", "elected_at", "renewed_at")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # The previous leader may have renewed every delegation up to this moment.
        self.elected_at = clock.now()
        self.renewed_at: dict[str, float] = {}
        self.domains_being_freed: set[str] = set()

    def renew(self, domain: str) -> None:
        """Record a renewal, after the quorum round of a report and before the report is confirmed.

        :param domain: domain that reported
        """
        self.renewed_at[domain] = self.clock.now()

    def has_expired(self, domain: str, term: float) -> bool:
        """Return whether a delegation of the domain has expired, the drift margin included.

        :param domain: holder
        :param term: delegation term of the pool in seconds
        """
        last_renewal = self.renewed_at.get(domain, self.elected_at)
        return self.clock.now() >= last_renewal + grantor_term(term)

    def start_freeing(
        self, table: DelegationTable, terms: Mapping[str, float]
    ) -> list[pb.FreeShards]:
        """Return commands that free the shards of expired delegations, at most one per domain.

        Until :meth:`finish_freeing`, the domain's reports must not be confirmed.

        :param table: delegations of the applied log
        :param terms: delegation term in seconds by pool; shards of other pools are skipped
        """
        commands: dict[str, pb.FreeShards] = {}
        for (pool, shard), delegation in table.delegations.items():
            if (
                delegation.domain is None
                or delegation.domain in self.domains_being_freed
                or pool not in terms
            ):
                continue
            if not self.has_expired(delegation.domain, terms[pool]):
                continue
            command = commands.setdefault(
                delegation.domain, pb.FreeShards(domain=delegation.domain)
            )
            command.shards.append(pb.ShardEpoch(pool=pool, shard=shard, epoch=delegation.epoch))
        self.domains_being_freed.update(commands)
        return list(commands.values())

    def finish_freeing(self, command: pb.FreeShards) -> None:
        """Record that a command has been applied, or is certain never to be applied.

        :param command: result of :meth:`start_freeing`
        """
        self.domains_being_freed.discard(command.domain)

    def may_confirm(self, domain: str) -> bool:
        """Return whether a report may be confirmed.

        A confirmation between the decision to free shards and its application would renew a
        delegation that is about to end.

        :param domain: domain that reported
        """
        return domain not in self.domains_being_freed
