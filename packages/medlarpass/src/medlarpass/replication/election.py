"""Elections with pre-vote (Ongaro 2014, sections 3.4 and 9.6)."""

from __future__ import annotations

import asyncio
import random

from typing import TYPE_CHECKING

from medlarpass.replication import events
from medlarpass.replication.leadership import Leadership
from medlarpass.replication.role import Role
from medlarpass.rpc.replication_pb2 import VoteRequest

if TYPE_CHECKING:
    from medlarpass.replication.membership import Member
    from medlarpass.replication.state import ReplicaState
    from medlarpass.rpc.replication_pb2 import VoteResponse

#: Heartbeats of the leader for which a replica that was paused waits before it campaigns.
EXTENSION_HEARTBEAT_COUNT = 2


class Election:
    """Starts an election when there was no call from the leader for a random timeout."""

    __slots__ = ("state",)

    def __init__(self, state: ReplicaState) -> None:
        self.state = state

    async def run(self) -> None:
        """Run the election timer until cancelled."""
        settings = self.state.settings
        while True:
            timeout = random.uniform(settings.election_timeout_min, settings.election_timeout_max)
            await self._wait_for_timeout(timeout)
            if self._can_campaign():
                await self.campaign()
            else:
                self.state.election_timer_started_at = self.state.clock.now()

    async def _wait_for_timeout(self, timeout: float) -> None:
        state = self.state
        heartbeat = state.settings.heartbeat
        is_extended = False
        while True:
            now = state.clock.now()
            remaining = state.election_timer_started_at + timeout - now
            if remaining > 0:
                await asyncio.sleep(remaining)
                continue
            if is_extended or -remaining < heartbeat:
                return
            # This replica has not run in time, and calls of the leader may wait to be read. The
            # timeout is extended once, so that a replica that is always late can campaign too.
            is_extended = True
            extension = EXTENSION_HEARTBEAT_COUNT * heartbeat
            state.election_timer_started_at = now + extension - timeout

    def _can_campaign(self) -> bool:
        state = self.state
        # While the lock is held, a call is in progress, for example waiting for a slow fsync.
        return (
            state.role is not Role.LEADER
            and not state.lock.locked()
            and state.identity in state.membership.voters
        )

    async def campaign(self, *, transfer: bool = False) -> None:
        """Run for leader.

        :param transfer: the current leader requested the election by a leadership transfer; this
            skips the pre-vote, and voters grant their vote although that leader is alive
        """
        state = self.state
        state.election_timer_started_at = state.clock.now()
        term = state.term + 1
        if not transfer and not await self._wins_vote_round(term, pre_vote=True, transfer=False):
            return
        async with state.lock:
            if state.term != term - 1 or state.role is Role.LEADER:
                return
            if not transfer and state.leader_contact_at >= state.election_timer_started_at:
                return
            state.role = Role.CANDIDATE
            state.leader_id = None
            events.ELECTION_STARTED.log(
                identity=state.identity,
                term=term,
                leader_silent_for=state.leader_silence(),
                transfer=transfer,
            )
            await state.save_vote(term, state.identity)
            state.role = Role.CANDIDATE
        if not await self._wins_vote_round(term, pre_vote=False, transfer=transfer):
            return
        if state.term == term and state.role is Role.CANDIDATE:
            self._become_leader(term)

    def _become_leader(self, term: int) -> None:
        state = self.state
        state.role = Role.LEADER
        state.leader_id = state.identity
        state.leadership = Leadership(state, term)
        events.LEADER_ELECTED.log(identity=state.identity, term=term)
        state.leadership.start()
        state.changed.notify()

    async def _wins_vote_round(self, term: int, *, pre_vote: bool, transfer: bool) -> bool:
        state = self.state
        membership = state.membership
        granted = {state.identity}
        pending = {
            asyncio.create_task(
                self._request_vote(member, term, pre_vote=pre_vote, transfer=transfer)
            )
            for member in membership.members
            if member.voter and member.replica != state.identity
        }
        deadline = asyncio.get_running_loop().time() + state.settings.election_timeout_min
        try:
            while pending and not membership.is_majority(granted):
                remaining = deadline - asyncio.get_running_loop().time()
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(0.0, remaining),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                granted.update(voter for task in done if (voter := task.result()) is not None)
        finally:
            for task in pending:
                task.cancel()
        return membership.is_majority(granted)

    async def _request_vote(
        self, member: Member, term: int, *, pre_vote: bool, transfer: bool
    ) -> str | None:
        state = self.state
        request = VoteRequest(
            term=term,
            candidate=state.identity,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            leadership_transfer=transfer,
            receiver=member.replica,
        )
        try:
            response: VoteResponse = await state.transport.request_vote(member, request)
        except Exception:
            # The transport defines its own errors; any of them counts as a vote not granted.
            return None
        if response.term > state.term:
            state.spawn(state.observe_term(response.term))
        return member.replica if response.granted else None
