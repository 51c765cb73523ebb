"""Guards against requests to, and responses from, a server that no longer owns the key."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Fence
from medlarpass.ownership import OwnershipView
from medlarpass.ownership import shard_of
from medlarpass.ownership.exceptions import NoOwnerInDomainError
from medlarpass.ownership.exceptions import ViewStaleError
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

SHARDS = 8
SHARD = shard_of("p", "hot", SHARDS)


def response(
    version: int, owners: list[tuple[str, str, int]] | None, number: int = 1, ms: int = 600
) -> pb.WatchDomainResponse:
    return pb.WatchDomainResponse(
        coordinator=True,
        ballot=pb.Ballot(number=number, entry="e0#1"),
        version=version,
        grants_included=owners is not None,
        grants=[
            control_pb2.GrantStatus(
                pool="p", shard=SHARD, key=key, server=server, incarnation=1, fence=fence
            )
            for key, server, fence in owners or []
        ],
        servers=[
            control_pb2.ServerStatus(
                identity=server, incarnation=1, session_remaining_ms=ms, holds_session=True
            )
            for server in "ab"
        ],
    )


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(10.0)


@pytest.fixture
def view(clock: ManualClock) -> OwnershipView:
    result = OwnershipView(clock)
    assert result.apply(response(5, [("", "a", 7)]), clock.now())
    clock.advance(0.1)
    return result


def test_the_owner_carries_the_fence(view: OwnershipView) -> None:
    owner = view.owner_of("p", "hot", SHARDS)
    assert (owner.server, owner.fence) == ("a", Fence(0, 7))
    assert view.is_current(owner, "hot")


def test_a_shard_without_grant_has_no_owner(view: OwnershipView) -> None:
    with pytest.raises(NoOwnerInDomainError):
        view.owner_of("other", "hot", SHARDS)


def test_an_ended_session_is_not_used(clock: ManualClock, view: OwnershipView) -> None:
    owner = view.owner_of("p", "hot", SHARDS)
    clock.advance(0.493)
    assert view.is_current(owner, "hot")
    clock.advance(0.002)
    with pytest.raises(ViewStaleError):
        view.owner_of("p", "hot", SHARDS)
    assert not view.is_current(owner, "hot")


def test_sessions_count_from_before_the_request(clock: ManualClock, view: OwnershipView) -> None:
    sent_at = clock.now()
    clock.advance(0.6)
    assert view.apply(response(5, None), sent_at)
    with pytest.raises(ViewStaleError):
        view.owner_of("p", "hot", SHARDS)


IGNORED_RESPONSES = [
    ("older version", response(4, [("", "b", 6)]), 0.0),
    ("older ballot", response(9, [("", "b", 6)], number=0), 0.0),
    ("response that arrives out of order", response(6, [("", "b", 8)]), -0.1),
    ("newer version without grants", response(6, None), 0.0),
    ("not from the coordinator", pb.WatchDomainResponse(version=9, grants_included=True), 0.0),
]


@pytest.mark.parametrize(
    ("name", "ignored_response", "offset"),
    IGNORED_RESPONSES,
    ids=[case[0] for case in IGNORED_RESPONSES],
)
def test_responses_that_are_ignored(
    clock: ManualClock,
    view: OwnershipView,
    name: str,
    ignored_response: pb.WatchDomainResponse,
    offset: float,
) -> None:
    assert not view.apply(ignored_response, clock.now() + offset)
    assert view.owner_of("p", "hot", SHARDS).server == "a"


@pytest.mark.parametrize(
    "owners",
    [[("", "b", 8)], [("", "a", 8)], [], [("", "a", 7), ("hot", "b", 8)]],
    ids=["moved", "granted anew", "no owner", "isolated"],
)
def test_a_response_is_dropped_when_the_server_lost_the_key(
    clock: ManualClock, view: OwnershipView, owners: list[tuple[str, str, int]]
) -> None:
    owner = view.owner_of("p", "hot", SHARDS)
    assert view.apply(response(6, owners), clock.now())
    assert not view.is_current(owner, "hot")


def test_an_isolated_key_has_its_own_owner(clock: ManualClock, view: OwnershipView) -> None:
    assert view.apply(response(6, [("", "a", 7), ("hot", "b", 8)]), clock.now())
    assert view.owner_of("p", "hot", SHARDS).server == "b"
