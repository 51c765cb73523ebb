"""State machine of the control log."""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from medlarpass.control.exceptions import CommandRejectedError
from medlarpass.fleet import ServerRecords
from medlarpass.ledger import OrderLedger
from medlarpass.ownership import DelegationTable
from medlarpass.ranges import RangeTable
from medlarpass.rpc import control_pb2
from medlarpass.rpc import state_pb2
from medlarpass.tables import ConfigurationTable

if TYPE_CHECKING:
    from collections.abc import Callable


class ControlState:
    """State machine of the control replicas, changed only by committed commands.

    Contains the tables, delegations, order ledger, publication, ranges and server records.
    """

    __slots__ = (
        "applied_index",
        "delegations",
        "ledger",
        "observers",
        "publication",
        "ranges",
        "servers",
        "tables",
    )

    def __init__(self) -> None:
        self.tables = ConfigurationTable()
        self.ledger = OrderLedger()
        self.delegations = DelegationTable()
        #: Routes and pools published as a whole; version 0 before the first publication.
        self.publication = control_pb2.Publish()
        self.ranges = RangeTable()
        self.servers = ServerRecords()
        self.applied_index = 0
        #: Called after each change of the state.
        self.observers: list[Callable[[], None]] = []

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed command.

        :param index: index of the log record
        :param payload: serialised ``Command``
        :returns: serialised ``CommandResult``
        :raises CommandRejectedError: the command has no body that this version knows
        """
        command = control_pb2.Command.FromString(payload)
        body = command.WhichOneof("body")
        if body is None:
            raise CommandRejectedError("the command has no body that this version knows")
        result = apply_body(getattr(command, body), self, command.time_ms)
        self.applied_index = index
        self._notify_observers()
        return result.SerializeToString()

    def snapshot(self) -> bytes:
        """Return the complete state in serialised form."""
        snapshot = state_pb2.ControlSnapshot(
            tables=self.tables.snapshot(),
            ledger=self.ledger.snapshot(),
            delegations=self.delegations.to_bytes(),
            publication=self.publication,
            ranges=self.ranges.snapshot(),
            servers=self.servers.all(),
        )
        return snapshot.SerializeToString()

    def restore(self, data: bytes) -> None:
        """Replace the complete state by that of a snapshot."""
        snapshot = state_pb2.ControlSnapshot.FromString(data)
        self.tables = ConfigurationTable.from_snapshot(snapshot.tables)
        self.ledger = OrderLedger.from_snapshot(snapshot.ledger)
        self.delegations = DelegationTable.from_bytes(snapshot.delegations)
        self.publication = snapshot.publication
        self.ranges = RangeTable.from_snapshot(snapshot.ranges)
        self.servers = ServerRecords.from_snapshot(snapshot.servers)
        self._notify_observers()

    def _notify_observers(self) -> None:
        for observer in self.observers:
            observer()


@singledispatch
def apply_body(body: object, state: ControlState, time_ms: int) -> control_pb2.CommandResult:
    """Apply the body of a command; dispatches on the type of the body.

    :param body: message inside the command
    :param state: state to change
    :param time_ms: Unix time set by the leader, in milliseconds
    :raises CommandRejectedError: the body is of an unknown type
    """
    raise CommandRejectedError(f"no command has a body of type {type(body).__name__}")


@apply_body.register
def _apply_change(
    body: control_pb2.ApplyChange, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(change=state.tables.apply(body, time_ms))


@apply_body.register
def _set_drain(
    body: control_pb2.SetDrain, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(change=state.tables.set_drain(body, time_ms))


@apply_body.register
def _set_evacuation(
    body: control_pb2.SetEvacuation, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(change=state.tables.set_evacuation(body, time_ms))


@apply_body.register
def _record_refusal(
    body: control_pb2.RecordRefusal, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    state.tables.record_refusal(body, time_ms)
    return control_pb2.CommandResult(change=control_pb2.ChangeResult(code=body.code))


@apply_body.register
def _claim_order(
    body: control_pb2.ClaimOrder, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(claim=state.ledger.claim(body, time_ms))


@apply_body.register
def _complete_order(
    body: control_pb2.CompleteOrder, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(claim=state.ledger.complete(body, time_ms))


@apply_body.register
def _release_order(
    body: control_pb2.ReleaseOrder, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(claim=state.ledger.release(body, time_ms))


@apply_body.register
def _assign_shards(
    body: control_pb2.AssignShards, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(delegation=state.delegations.apply(body))


@apply_body.register
def _plan_shard_moves(
    body: control_pb2.PlanShardMoves, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(delegation=state.delegations.apply(body))


@apply_body.register
def _free_shards(
    body: control_pb2.FreeShards, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(delegation=state.delegations.apply(body))


@apply_body.register
def _renew_epochs(
    body: control_pb2.RenewEpochs, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(delegation=state.delegations.apply(body))


@apply_body.register
def _publish(
    body: control_pb2.Publish, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    changed = body.version > state.publication.version
    if changed:
        state.publication = body
    result = control_pb2.PublishResult(version=state.publication.version, changed=changed)
    return control_pb2.CommandResult(publish=result)


@apply_body.register
def _assign_ranges(
    body: control_pb2.AssignRanges, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(ranges=state.ranges.assign(body))


@apply_body.register
def _retire_server(
    body: control_pb2.RetireServer, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    state.ranges.retire(body)
    state.servers.remove(body.identity, body.life)
    return control_pb2.CommandResult(ranges=control_pb2.RangesResult())


@apply_body.register
def _record_server(
    body: control_pb2.RecordServer, state: ControlState, time_ms: int
) -> control_pb2.CommandResult:
    # The retirement of the server may have been committed before this record.
    if not state.ranges.is_retired(body.identity, body.life):
        state.servers.record(body)
    return control_pb2.CommandResult(ranges=control_pb2.RangesResult())
