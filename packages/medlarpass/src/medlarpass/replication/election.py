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


class Election:
    """Starts an election when the leader has been silent for a random timeout."""

    __slots__ = ("state",)

    def __init__(self, state: ReplicaState) -> None:
        self.state = state

    async def run(self) -> None:
        """Watch the leader until cancelled."""
        settings = self.state.settings
        while True:
            timeout = random.uniform(settings.election_timeout_min, settings.election_timeout_max)
            await self._wait_quiet(timeout)
            if self._may_campaign():
                await self.campaign()
            else:
                self.state.quiet_since = self.state.clock.now()

    async def _wait_quiet(self, timeout: float) -> None:
        state = self.state
        while True:
            rest = state.quiet_since + timeout - state.clock.now()
            if rest <= 0:
                return
            await asyncio.sleep(rest)

    def _may_campaign(self) -> bool:
        state = self.state
        # A held lock means that a call is being worked on, for example during a slow fsync.
        return (
            state.role is not Role.LEADER
            and not state.lock.locked()
            and state.identity in state.membership.voters
        )

    async def campaign(self, *, transfer: bool = False) -> None:
        """Try to become the leader.

        :param transfer: the present leader has asked for it; voters then do not protect it
        """
        state = self.state
        state.quiet_since = state.clock.now()
        term = state.term + 1
        if not transfer and not await self._wins(term, pre_vote=True, transfer=False):
            return
        async with state.lock:
            if state.term != term - 1 or state.role is Role.LEADER:
                return
            if not transfer and state.leader_seen_at >= state.quiet_since:
                return
            state.role = Role.CANDIDATE
            state.leader_id = None
            events.ELECTION_STARTED.log(identity=state.identity, term=term)
            await state.save_vote(term, state.identity)
            state.role = Role.CANDIDATE
        if not await self._wins(term, pre_vote=False, transfer=transfer):
            return
        if state.term == term and state.role is Role.CANDIDATE:
            self._lead(term)

    def _lead(self, term: int) -> None:
        state = self.state
        state.role = Role.LEADER
        state.leader_id = state.identity
        state.leadership = Leadership(state, term)
        events.LEADER_ELECTED.log(identity=state.identity, term=term)
        state.leadership.start()
        state.changed.notify()

    async def _wins(self, term: int, *, pre_vote: bool, transfer: bool) -> bool:
        state = self.state
        membership = state.membership
        granted = {state.identity}
        pending = {
            asyncio.create_task(self._ask(member, term, pre_vote=pre_vote, transfer=transfer))
            for member in membership.members
            if member.voter and member.replica != state.identity
        }
        deadline = asyncio.get_running_loop().time() + state.settings.election_timeout_min
        try:
            while pending and not membership.is_majority(granted):
                rest = deadline - asyncio.get_running_loop().time()
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(0.0, rest),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                granted.update(voter for task in done if (voter := task.result()) is not None)
        finally:
            for task in pending:
                task.cancel()
        return membership.is_majority(granted)

    async def _ask(
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
            # The transport defines its own errors; each of them is a vote that is not granted.
            return None
        if response.term > state.term:
            state.spawn(state.observe_term(response.term))
        return member.replica if response.granted else None
