"""Owners of keys according to the grants and sessions of all failure domains."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Fence
from medlarpass.ownership import Owner
from medlarpass.ownership import OwnershipView
from medlarpass.ownership import shard_of
from medlarpass.registry import ServerRegistry
from medlarpass.rpc import control_pb2 as pb
from medlarpass.tables import Pool
from medlarpass_daemon.entry.callers import NoOwnerError
from medlarpass_daemon.entry.configuration_store import ConfigurationStore
from medlarpass_daemon.entry.directories import OwnerDirectory
from medlarpass_daemon.entry.directories import TargetFactory
from medlarpass_daemon.entry.own_loads import OwnLoads

POOL = Pool.from_document("stock", {"owned": True})
KEY = "roll-7"
SHARD = shard_of(POOL.name, KEY, POOL.shards)
TERM = 10.0


class Domains:
    """An owner directory over two domains, with grants set by the test."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.registry = ServerRegistry(self.clock)
        for identity in ("s1", "s2"):
            self.registry.record_heartbeat(
                pb.ServerStatus(
                    identity=identity,
                    incarnation=1,
                    domain="d1",
                    ip="127.0.0.1",
                    port=7100,
                    pools=[POOL.name],
                    slots=3,
                    connections=10,
                    state="ready",
                )
            )
        self.loads = OwnLoads(ConfigurationStore(), self.clock)
        self.owners = OwnerDirectory(
            ("d1", "d2"), self.registry, TargetFactory({}), self.loads, self.clock
        )

    def view(self, domain: str) -> OwnershipView:
        return self.owners.views[domain]

    def grant(self, domain: str, server: str, sequence: int, key: str | None = None) -> None:
        view = self.view(domain)
        assignment = Assignment(POOL.name, SHARD, key)
        owner = Owner(assignment, server, 1, Fence(1, sequence))
        view.owners = {**view.owners, assignment: owner}
        view.sessions[server, 1] = self.clock.now() + TERM

    def owner(self) -> tuple[str, int | None]:
        target = self.owners.owner_of(POOL, KEY)
        return target.identity, target.fence


@pytest.fixture
def domains() -> Domains:
    return Domains()


def test_changed_grant_is_seen_at_once(domains: Domains) -> None:
    """Guards against an index that is not rebuilt after its grants have changed."""
    domains.grant("d1", "s1", 1)
    target = domains.owners.owner_of(POOL, KEY)
    assert target.identity == "s1"
    assert domains.owners.is_current(POOL, KEY, target)
    domains.grant("d1", "s2", 2)
    assert not domains.owners.is_current(POOL, KEY, target)
    assert domains.owner() == ("s2", Fence(1, 2).to_int())
    domains.view("d1").owners = {}
    with pytest.raises(NoOwnerError):
        domains.owners.owner_of(POOL, KEY)


def test_higher_fence_wins_between_domains(domains: Domains) -> None:
    """Guards against requests to the previous domain while a shard moves."""
    domains.grant("d1", "s1", 5)
    domains.grant("d2", "s2", 6)
    assert domains.owner()[0] == "s2"
    domains.grant("d1", "s1", 7)
    assert domains.owner()[0] == "s1"


def test_grant_of_isolated_key_overrides_its_shard(domains: Domains) -> None:
    """Guards against requests for an isolated key that are sent to the owner of its shard."""
    domains.grant("d1", "s1", 9)
    domains.grant("d1", "s2", 3, KEY)
    assert domains.owner()[0] == "s2"
    domains.view("d1").sessions.pop(("s2", 1))
    with pytest.raises(NoOwnerError):
        domains.owners.owner_of(POOL, KEY)


def test_owner_without_session_is_not_used(domains: Domains) -> None:
    """Guards against requests to a server whose session has ended."""
    domains.grant("d1", "s1", 1)
    target = domains.owners.owner_of(POOL, KEY)
    domains.clock.advance(TERM)
    assert not domains.owners.is_current(POOL, KEY, target)
    with pytest.raises(NoOwnerError):
        domains.owners.owner_of(POOL, KEY)


def test_requests_are_counted_by_shard(domains: Domains) -> None:
    """Guards against shards whose load is not reported to the coordinator."""
    domains.grant("d1", "s1", 1)
    domains.owner()
    domains.owner()
    assert domains.loads.counts == {(POOL.name, SHARD): 2}
