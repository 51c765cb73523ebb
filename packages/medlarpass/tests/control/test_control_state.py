"""Guards against snapshots that lose state and against commands that stop a replica."""

from __future__ import annotations

import pytest

from medlarpass.control import CommandRejectedError
from medlarpass.control import ControlState
from medlarpass.rpc import control_pb2


def apply_command(state: ControlState, command: control_pb2.Command) -> control_pb2.CommandResult:
    result = state.apply(state.applied_index + 1, command.SerializeToString())
    return control_pb2.CommandResult.FromString(result)


def commands() -> list[control_pb2.Command]:
    pool = control_pb2.ItemChange(
        kind=control_pb2.ITEM_KIND_POOL, name="stock", document='{"owned": true}'
    )
    change = control_pb2.ApplyChange(change_id="c", author="a", items=[pool])
    claim = control_pb2.ClaimOrder(route="r", idempotency_key="k", attempt="1", body_digest=b"d")
    assignment = control_pb2.ShardAssignment(pool="stock", shard=3, domain="a")
    shards = control_pb2.AssignShards(assignments=[assignment])
    drain = control_pb2.SetDrain(change_id="d", server="s1", drained=True)
    evacuation = control_pb2.SetEvacuation(change_id="e", domain="north", evacuated=True)
    return [
        control_pb2.Command(time_ms=1, apply_change=change),
        control_pb2.Command(time_ms=2, claim_order=claim),
        control_pb2.Command(time_ms=3, assign_shards=shards),
        control_pb2.Command(time_ms=4, set_drain=drain),
        control_pb2.Command(time_ms=4, set_evacuation=evacuation),
        control_pb2.Command(time_ms=5, renew_epochs=control_pb2.RenewEpochs(domain="a")),
    ]


def test_snapshot_holds_every_part_of_the_state() -> None:
    state = ControlState()
    for command in commands():
        apply_command(state, command)
    copy = ControlState()
    copy.restore(state.snapshot())
    assert copy.snapshot() == state.snapshot()
    assert copy.tables.evacuated_domains == {"north"}
    assert [delegation.epoch for delegation in copy.delegations.held_by("a")] == [2]
    repeated = apply_command(copy, commands()[1])
    assert repeated.claim.status == control_pb2.CLAIM_STATUS_CLAIMED
    assert apply_command(copy, commands()[0]) == apply_command(state, commands()[0])


def test_replicas_that_apply_the_same_commands_are_equal() -> None:
    states = [ControlState(), ControlState()]
    for state in states:
        for command in commands():
            apply_command(state, command)
    assert states[0].snapshot() == states[1].snapshot()


def test_command_without_a_known_body_is_rejected() -> None:
    with pytest.raises(CommandRejectedError):
        ControlState().apply(1, control_pb2.Command(time_ms=1).SerializeToString())


def test_observers_are_called_after_changes_and_restores() -> None:
    state = ControlState()
    observed_revisions: list[int] = []
    state.observers.append(lambda: observed_revisions.append(state.tables.revision))
    apply_command(state, commands()[0])
    state.restore(ControlState().snapshot())
    assert observed_revisions == [1, 0]
