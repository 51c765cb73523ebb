"""Decides, on the control leader, which failure domain holds which shard."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.ownership import DelegationPlanner
from medlarpass.ownership import DelegationRenewals
from medlarpass.ownership.domain_weights import weighted_slots
from medlarpass.replication import NotLeaderError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.events import DELEGATION_FAILED
from medlarpass_daemon.control.events import EPOCHS_RENEWED
from medlarpass_daemon.control.events import SHARDS_ASSIGNED
from medlarpass_daemon.control.events import SHARDS_FREED
from medlarpass_daemon.control.events import SHARDS_MOVING

if TYPE_CHECKING:
    from medlarpass import Clock
    from medlarpass.tables import Pool
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Seconds between two looks at the delegations.
PLAN_INTERVAL = 0.2
#: Weight of a new report in the averaged load: about half a minute of reports each second.
LOAD_WEIGHT = 1 / 30
#: Part of its share by which a domain may be above it before shards move away.
HYSTERESIS = 0.08
#: Age of a domain's last report, in seconds, after which it gets no further shards.
REPORT_STALE_AFTER = 3.0


class _LastReport:
    __slots__ = ("at", "report")

    def __init__(self, report: control_pb2.DomainReport, at: float) -> None:
        self.report = report
        self.at = at


class Delegator:
    """Answers domain reports and plans delegations while the local replica leads.

    What it remembers belongs to one term of leadership: a new leader can't know when its
    predecessor last renewed, so it counts all terms from its own election.

    :param log: the replicated log
    :param clock: clock of this process
    """

    __slots__ = (
        "clock",
        "last_reports",
        "loads",
        "log",
        "planner",
        "renewals",
        "renewals_term",
    )

    def __init__(self, log: ReplicaLog, clock: Clock) -> None:
        self.log = log
        self.clock = clock
        self.planner = DelegationPlanner(hysteresis=HYSTERESIS)
        self.renewals = DelegationRenewals(clock)
        self.renewals_term = -1
        self.last_reports: dict[str, _LastReport] = {}
        #: Averaged requests per second by pool and domain.
        self.loads: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await asyncio.sleep(PLAN_INTERVAL)
            if not self._leads():
                continue
            try:
                await self._plan()
            except MedlarpassError as error:
                DELEGATION_FAILED.log(code=error.code, message=error.message)

    async def report(self, report: control_pb2.DomainReport) -> control_pb2.DomainReportResponse:
        """Take a report, free what it released and renew the rest.

        :param report: from the coordinator of a domain
        :returns: the domain's delegations, or an unconfirmed answer when this replica can't
            prove that it still leads
        """
        unconfirmed = control_pb2.DomainReportResponse(confirmed=False)
        if not self._leads():
            return unconfirmed
        try:
            # The quorum round begins after the report arrived, so a deposed leader renews nothing.
            # The wait keeps a new leader from renewing what an unapplied command has freed.
            index = await self.log.replica.read_index()
            await self.log.replica.wait_applied(index)
            await self._apply_report(report)
        except NotLeaderError:
            return unconfirmed
        except MedlarpassError as error:
            DELEGATION_FAILED.log(code=error.code, message=error.message)
            return unconfirmed
        if not self._leads() or not self.renewals.may_confirm(report.domain):
            return unconfirmed
        self.last_reports[report.domain] = _LastReport(report, self.clock.now())
        self._average_loads(report)
        self.renewals.renew(report.domain)
        return self._answer(report)

    def reports(self) -> list[control_pb2.DomainReport]:
        """Return the last report of each domain; empty when this replica does not lead."""
        if not self.log.replica.is_leader:
            return []
        return [last.report for _, last in sorted(self.last_reports.items())]

    async def _apply_report(self, report: control_pb2.DomainReport) -> None:
        if report.released:
            command = control_pb2.FreeShards(domain=report.domain, shards=report.released)
            await self._propose(control_pb2.Command(free_shards=command))
            await self._plan()
        if report.needs_new_epochs:
            renewal = control_pb2.RenewEpochs(domain=report.domain)
            await self._propose(control_pb2.Command(renew_epochs=renewal))
            EPOCHS_RENEWED.log(domain=report.domain)

    def _answer(self, report: control_pb2.DomainReport) -> control_pb2.DomainReportResponse:
        terms = [
            control_pb2.PoolTerm(pool=pool.name, term_ms=round(pool.delegation_term * 1000))
            for pool in self._pools()
        ]
        return control_pb2.DomainReportResponse(
            confirmed=True,
            delegations=self.log.state.delegations.held_by(report.domain),
            terms=terms,
            new_epochs=report.needs_new_epochs,
        )

    def _leads(self) -> bool:
        replica = self.log.replica
        if not replica.is_leader:
            return False
        if self.renewals_term != replica.term:
            self.renewals = DelegationRenewals(self.clock)
            self.renewals_term = replica.term
            self.last_reports.clear()
            self.loads.clear()
        return True

    def _pools(self) -> list[Pool]:
        return [pool for pool in self.log.state.tables.pools().values() if pool.owned]

    async def _plan(self) -> None:
        pools = self._pools()
        await self._take_back(pools)
        for pool in pools:
            await self._plan_pool(pool)

    async def _take_back(self, pools: list[Pool]) -> None:
        terms = {pool.name: pool.delegation_term for pool in pools}
        for command in self.renewals.start_freeing(self.log.state.delegations, terms):
            SHARDS_FREED.log(domain=command.domain, shards=len(command.shards))
            await self._propose(control_pb2.Command(free_shards=command))
            # After an unknown result the domain stays marked: confirming it would be unsafe.
            self.renewals.finish_freeing(command)

    async def _plan_pool(self, pool: Pool) -> None:
        slots = self._weighted_slots(pool.name)
        assign, moves = self.planner.plan(self.log.state.delegations, pool.name, pool.shards, slots)
        if assign.assignments:
            SHARDS_ASSIGNED.log(pool=pool.name, shards=len(assign.assignments))
            await self._propose(control_pb2.Command(assign_shards=assign))
        if moves.moves:
            SHARDS_MOVING.log(pool=pool.name, shards=len(moves.moves))
            await self._propose(control_pb2.Command(plan_shard_moves=moves))

    def _weighted_slots(self, pool: str) -> dict[str, int]:
        shards: dict[str, int] = {}
        for (name, _), each in self.log.state.delegations.delegations.items():
            if name == pool and each.domain is not None:
                shards[each.domain] = shards.get(each.domain, 0) + 1
        loads = {domain: load for (name, domain), load in self.loads.items() if name == pool}
        return weighted_slots(self._slots(pool), loads, shards)

    def _average_loads(self, report: control_pb2.DomainReport) -> None:
        for each in report.loads:
            key = (each.pool, report.domain)
            known = self.loads.get(key, each.requests_per_second)
            self.loads[key] = known + LOAD_WEIGHT * (each.requests_per_second - known)

    def _slots(self, pool: str) -> dict[str, int]:
        oldest = self.clock.now() - REPORT_STALE_AFTER
        return {
            domain: load.ready_slots
            for domain, last in self.last_reports.items()
            if last.at >= oldest
            for load in last.report.loads
            if load.pool == pool
        }

    async def _propose(self, command: control_pb2.Command) -> None:
        await self.log.propose(command)
