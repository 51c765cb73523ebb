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

SNAPSHOT_FORMAT_VERSION = 1


class Delegation(Value):
    """Delegation of a shard.

    :param domain: domain that holds the shard; ``None`` when the shard is free
    :param epoch: epoch of the current or last delegation
    :param target: domain that the shard is to move to, or ``None``
    """

    __slots__ = ("domain", "epoch", "target")

    def __init__(self, domain: str | None, epoch: int, target: str | None = None) -> None:
        self.domain = domain
        self.epoch = epoch
        self.target = target


class DelegationTable:
    """Keeps at most one holder per shard and gives each new delegation a higher epoch.

    The table is deterministic and reads no clock: the leader decides when a term has ended and
    proposes ``FreeShards`` with the epoch that it saw.
    """

    __slots__ = ("delegations",)

    def __init__(self) -> None:
        self.delegations: dict[tuple[str, int], Delegation] = {}

    @singledispatchmethod
    def apply(self, command: Message) -> pb.DelegationResult:
        """Apply a command of the control log.

        :param command: ``AssignShards``, ``PlanShardMoves``, ``FreeShards`` or ``RenewEpochs``
        :returns: number of shards that changed; shards to which the command does not apply stay
            unchanged
        :raises TypeError: the command is of another type
        """
        raise TypeError(f"unsupported delegation command: {type(command).__name__}")

    @apply.register
    def _assign(self, command: pb.AssignShards) -> pb.DelegationResult:
        changed = 0
        for assignment in command.assignments:
            delegation = self.delegations.get((assignment.pool, assignment.shard))
            # The holder may still serve the shard until it is freed.
            if delegation is not None and delegation.domain is not None:
                continue
            epoch = 1 if delegation is None else delegation.epoch + 1
            self.delegations[assignment.pool, assignment.shard] = Delegation(
                assignment.domain, epoch
            )
            changed += 1
        return pb.DelegationResult(changed=changed)

    @apply.register
    def _plan_moves(self, command: pb.PlanShardMoves) -> pb.DelegationResult:
        changed = 0
        for move in command.moves:
            delegation = self.delegations.get((move.pool, move.shard))
            if delegation is None or delegation.domain in (None, move.domain):
                continue
            if delegation.target != move.domain:
                delegation.target = move.domain
                changed += 1
        return pb.DelegationResult(changed=changed)

    @apply.register
    def _free(self, command: pb.FreeShards) -> pb.DelegationResult:
        changed = 0
        for released in command.shards:
            delegation = self.delegations.get((released.pool, released.shard))
            # A late or repeated release names an older epoch and must not end the current
            # delegation.
            if delegation is None or (delegation.domain, delegation.epoch) != (
                command.domain,
                released.epoch,
            ):
                continue
            delegation.domain = None
            changed += 1
        return pb.DelegationResult(changed=changed)

    @apply.register
    def _renew_epochs(self, command: pb.RenewEpochs) -> pb.DelegationResult:
        held = [
            delegation
            for delegation in self.delegations.values()
            if delegation.domain == command.domain
        ]
        for delegation in held:
            delegation.epoch += 1
        return pb.DelegationResult(changed=len(held))

    def held_by(self, domain: str) -> Iterator[pb.ShardDelegation]:
        """Yield the delegations of a domain in the form that its coordinator receives.

        :param domain: name of the failure domain
        """
        for (pool, shard), delegation in self.delegations.items():
            if delegation.domain == domain:
                release = delegation.target is not None
                yield pb.ShardDelegation(
                    pool=pool, shard=shard, epoch=delegation.epoch, release=release
                )

    def to_bytes(self) -> bytes:
        """Return a snapshot: canonical JSON, equal for equal tables."""
        rows = [
            [pool, shard, delegation.domain, delegation.epoch, delegation.target]
            for (pool, shard), delegation in sorted(
                self.delegations.items(), key=lambda item: item[0]
            )
        ]
        document = {"format": SNAPSHOT_FORMAT_VERSION, "delegations": rows}
        return json.dumps(document, separators=(",", ":"), sort_keys=True).encode()

    @classmethod
    def from_bytes(cls, snapshot: bytes) -> DelegationTable:
        """Return the table of a snapshot.

        :param snapshot: result of :meth:`to_bytes`
        :raises SnapshotFormatError: the bytes are not a valid snapshot
        """
        table = cls()
        try:
            document = json.loads(snapshot)
            if document["format"] != SNAPSHOT_FORMAT_VERSION:
                raise SnapshotFormatError(
                    f"unsupported delegation snapshot format: {document['format']}"
                )
            for pool, shard, domain, epoch, target in document["delegations"]:
                table.delegations[str(pool), int(shard)] = Delegation(domain, int(epoch), target)
        except (ValueError, KeyError, TypeError) as error:
            raise SnapshotFormatError(f"delegation snapshot is malformed: {error}") from error
        return table
