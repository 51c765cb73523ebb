"""Applies committed records and takes snapshots."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass.replication import events
from medlarpass.replication.snapshot_store import Snapshot
from medlarpass.rpc.replication_pb2 import ENTRY_KIND_COMMAND

if TYPE_CHECKING:
    from medlarpass.replication.state import ReplicaState

# Records applied before the event loop runs other tasks.
APPLY_BATCH_COUNT = 64


class Applier:
    """Applies committed records to the state machine and saves its snapshots."""

    __slots__ = ("save_task", "state")

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.save_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Apply records until cancelled."""
        state = self.state
        while True:
            await state.changed.wait_for(lambda: state.applied_index < state.commit_index)
            for _ in range(min(APPLY_BATCH_COUNT, state.commit_index - state.applied_index)):
                self._apply_next()
            state.changed.notify()
            self._take_snapshot()
            await asyncio.sleep(0)

    def _apply_next(self) -> None:
        state = self.state
        record = state.log.record_at(state.applied_index + 1)
        result = b""
        if record.kind == ENTRY_KIND_COMMAND:
            result = state.state_machine.apply(record.index, record.payload)
        state.applied_index = record.index
        if state.leadership is not None:
            state.leadership.complete(record.index, result)

    def _take_snapshot(self) -> None:
        state = self.state
        index = state.applied_index
        if index - state.snapshot_store.index < state.settings.snapshot_threshold:
            return
        if self.save_task is not None and not self.save_task.done():
            return
        snapshot = Snapshot(
            index,
            state.log.term_at(index),
            state.membership_history.membership_at(index),
            state.state_machine.snapshot(),
        )
        self.save_task = state.spawn(self._save(snapshot))

    async def _save(self, snapshot: Snapshot) -> None:
        state = self.state
        await asyncio.to_thread(state.snapshot_store.save, snapshot)
        events.SNAPSHOT_SAVED.log(index=snapshot.index, bytes=len(snapshot.data))
        await state.log.drop_prefix(snapshot.index - state.settings.snapshot_trailing)
