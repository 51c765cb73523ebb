"""Delegation of shards to failure domains, part of the replicated state machine."""

from __future__ import annotations

import json

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from medlarpass.base import Value
from medlarpass.ownership.exceptions import SnapshotFormatError
from medlarpass.rpc import control_pb2 as pb

if TYPE_CHECKING:
    from collections.abc import Iterator

    from google.protobuf.message import Message

SNAPSHOT_FORMAT = 1


class Delegation(Value):
    """A shard's holder.

    :param domain: holder; ``None`` when the shard is free
    :param epoch: epoch of the present or last delegation
    :param target: domain that the shard is to move to, or ``None``
    """

    __slots__ = ("domain", "epoch", "target")

    def __init__(self, domain: str | None, epoch: int, target: str | None = None) -> None:
        self.domain = domain
        self.epoch = epoch
        self.target = target


class DelegationTable:
    """Aggregate that keeps at most one holder per shard and gives each delegation a higher epoch.

    It is deterministic and reads no clock: the leader decides when a term has ended and proposes
    ``FreeShards`` with the epoch that it saw.
    """

    __slots__ = ("delegations",)

    def __init__(self) -> None:
        self.delegations: dict[tuple[str, int], Delegation] = {}

    @singledispatchmethod
    def apply(self, command: Message) -> pb.DelegationResult:
        """Apply a command of the control log.

        :param command: ``AssignShards``, ``PlanShardMoves``, ``FreeShards`` or ``RenewEpochs``
        :returns: number of shards that changed; a shard that fails its check is left as it is
        :raises TypeError: another command
        """
        raise TypeError(f"no delegation command: {type(command).__name__}")

    @apply.register
    def _assign(self, command: pb.AssignShards) -> pb.DelegationResult:
        changed = 0
        for item in command.assignments:
            present = self.delegations.get((item.pool, item.shard))
            # The holder may still serve the shard until it is freed.
            if present is not None and present.domain is not None:
                continue
            epoch = 1 if present is None else present.epoch + 1
            self.delegations[item.pool, item.shard] = Delegation(item.domain, epoch)
            changed += 1
        return pb.DelegationResult(changed=changed)

    @apply.register
    def _plan_moves(self, command: pb.PlanShardMoves) -> pb.DelegationResult:
        changed = 0
        for item in command.moves:
            present = self.delegations.get((item.pool, item.shard))
            if present is None or present.domain in (None, item.domain):
                continue
            if present.target != item.domain:
                present.target = item.domain
                changed += 1
        return pb.DelegationResult(changed=changed)

    @apply.register
    def _free(self, command: pb.FreeShards) -> pb.DelegationResult:
        changed = 0
        for item in command.shards:
            present = self.delegations.get((item.pool, item.shard))
            # A late or repeated release names an older epoch and must not end the present
            # delegation.
            if present is None or (present.domain, present.epoch) != (command.domain, item.epoch):
                continue
            present.domain = None
            changed += 1
        return pb.DelegationResult(changed=changed)

    @apply.register
    def _renew_epochs(self, command: pb.RenewEpochs) -> pb.DelegationResult:
        held = [each for each in self.delegations.values() if each.domain == command.domain]
        for delegation in held:
            delegation.epoch += 1
        return pb.DelegationResult(changed=len(held))

    def held_by(self, domain: str) -> Iterator[pb.ShardDelegation]:
        """Yield what a domain holds, as it is told to the domain's coordinator.

        :param domain: name of the failure domain
        """
        for (pool, shard), each in self.delegations.items():
            if each.domain == domain:
                release = each.target is not None
                yield pb.ShardDelegation(pool=pool, shard=shard, epoch=each.epoch, release=release)

    def to_bytes(self) -> bytes:
        """Return a snapshot: canonical JSON, equal for equal tables."""
        rows = [
            [pool, shard, each.domain, each.epoch, each.target]
            for (pool, shard), each in sorted(self.delegations.items(), key=lambda item: item[0])
        ]
        document = {"format": SNAPSHOT_FORMAT, "delegations": rows}
        return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, snapshot: bytes) -> DelegationTable:
        """Return the table of a snapshot.

        :param snapshot: result of :meth:`to_bytes`
        :raises SnapshotFormatError: the bytes are no such snapshot
        """
        table = cls()
        try:
            document = json.loads(snapshot)
            if document["format"] != SNAPSHOT_FORMAT:
                raise SnapshotFormatError(f"delegation snapshot of format {document['format']}")
            for pool, shard, domain, epoch, target in document["delegations"]:
                table.delegations[str(pool), int(shard)] = Delegation(domain, int(epoch), target)
        except (ValueError, KeyError, TypeError) as error:
            raise SnapshotFormatError(f"delegation snapshot cannot be read: {error}") from error
        return table
