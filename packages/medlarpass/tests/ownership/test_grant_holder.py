"""Guards against a server that accepts requests for a key that another server may own."""

from __future__ import annotations

import pytest

from medlarpass import ManualClock
from medlarpass.ownership import Assignment
from medlarpass.ownership import Fence
from medlarpass.ownership import GrantHolder
from medlarpass.ownership import Refusal
from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2 as pb

GrantItem = tuple[int, str, int]


def heartbeat_response(
    version: int, grants: list[GrantItem] | None = None, release: list[GrantItem] | None = None
) -> pb.HeartbeatResponse:
    return pb.HeartbeatResponse(
        coordinator=True,
        term_ms=600,
        version=version,
        grants_included=grants is not None,
        grants=[
            control_pb2.GrantStatus(pool="p", shard=shard, key=key, fence=Fence(1, number).to_int())
            for shard, key, number in grants or []
        ],
        release=[
            pb.ReleasedGrant(pool="p", shard=shard, key=key, fence=Fence(1, number).to_int())
            for shard, key, number in release or []
        ],
    )


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(10.0)


@pytest.fixture
def holder(clock: ManualClock) -> GrantHolder:
    """A server that owns shard 0 with fence 1."""
    result = GrantHolder(clock)
    result.apply_announcement(result.begin_heartbeat(), "s1", 600)
    assert result.apply(result.begin_heartbeat(), heartbeat_response(1, [(0, "", 1)]))
    return result


def check(holder: GrantHolder, number: int = 1, key: str = "k", shard: int = 0) -> Refusal | None:
    return holder.check("p", shard, key, Fence(1, number))


def test_requests_are_checked_against_the_grant(holder: GrantHolder) -> None:
    assert check(holder) is None
    assert check(holder, shard=1) is Refusal.NOT_OWNER
    assert check(holder, number=2) is Refusal.NOT_OWNER
    assert check(holder, number=0) is Refusal.STALE_FENCE


def test_a_server_frozen_past_its_term_refuses(clock: ManualClock, holder: GrantHolder) -> None:
    clock.advance(0.593)
    assert check(holder) is None
    clock.advance(0.002)
    assert check(holder) is Refusal.NOT_OWNER


def test_the_term_counts_from_before_the_heartbeat(clock: ManualClock, holder: GrantHolder) -> None:
    pending = holder.begin_heartbeat()
    clock.advance(0.5)
    assert holder.apply(pending, heartbeat_response(1))
    clock.advance(0.1)
    assert check(holder) is Refusal.NOT_OWNER


def test_a_renewal_after_the_term_does_not_restore_grants(
    clock: ManualClock, holder: GrantHolder
) -> None:
    clock.advance(0.5)
    pending = holder.begin_heartbeat()
    clock.advance(0.2)
    assert not holder.apply(pending, heartbeat_response(1))
    assert check(holder) is Refusal.NOT_OWNER
    assert holder.begin_heartbeat().known_version == 0


def test_out_of_order_and_repeated_responses_are_ignored(holder: GrantHolder) -> None:
    older, newer = holder.begin_heartbeat(), holder.begin_heartbeat()
    assert holder.apply(newer, heartbeat_response(2, [(1, "", 2)]))
    assert not holder.apply(older, heartbeat_response(1, [(0, "", 1)]))
    assert not holder.apply(newer, heartbeat_response(1, [(0, "", 1)]))
    assert check(holder) is Refusal.STALE_FENCE or check(holder) is Refusal.NOT_OWNER
    assert check(holder, number=2, shard=1) is None


@pytest.mark.parametrize(
    "response",
    [
        heartbeat_response(2),
        pb.HeartbeatResponse(coordinator=False, term_ms=600, version=1),
        pb.HeartbeatResponse(
            coordinator=True, term_ms=600, version=1, failure=control_pb2.Failure(code="x")
        ),
    ],
    ids=["unknown version", "no coordinator", "refused"],
)
def test_other_responses_do_not_extend_the_session(
    clock: ManualClock, holder: GrantHolder, response: pb.HeartbeatResponse
) -> None:
    clock.advance(0.3)
    assert not holder.apply(holder.begin_heartbeat(), response)
    clock.advance(0.3)
    assert check(holder) is Refusal.NOT_OWNER


def test_a_response_of_an_older_session_is_ignored(holder: GrantHolder) -> None:
    pending = holder.begin_heartbeat()
    holder.apply_announcement(holder.begin_heartbeat(), "s2", 600)
    assert check(holder) is not None
    late = holder.begin_heartbeat()
    late.session_id = pending.session_id
    assert not holder.apply(late, heartbeat_response(1, [(0, "", 1)]))


def test_a_repeated_response_to_an_announcement_is_ignored(holder: GrantHolder) -> None:
    pending = holder.begin_heartbeat()
    assert holder.apply_announcement(pending, "s2", 600)
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(1, [(0, "", 1)]))
    assert not holder.apply_announcement(pending, "s1", 600)
    assert check(holder) is None


def test_a_release_waits_for_running_requests(holder: GrantHolder) -> None:
    with holder.track_request("p", 0, "k"):
        assert holder.apply(holder.begin_heartbeat(), heartbeat_response(1, None, [(0, "", 1)]))
        assert check(holder) is Refusal.NOT_OWNER
        assert holder.begin_heartbeat().released == ()
    assert holder.begin_heartbeat().released == ((Assignment("p", 0), Fence(1, 1)),)


def test_a_release_is_final_for_its_fence(holder: GrantHolder) -> None:
    """A response from before the release, or of a coordinator without it, must not undo it."""
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(1, None, [(0, "", 1)]))
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(2, []))
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(3, [(0, "", 1)]))
    assert check(holder) is Refusal.NOT_OWNER
    assert holder.begin_heartbeat().released == ((Assignment("p", 0), Fence(1, 1)),)
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(4, [(0, "", 2)]))
    assert check(holder, number=2) is None


def test_an_isolated_key_is_refused_and_its_shard_is_not(holder: GrantHolder) -> None:
    with holder.track_request("p", 0, "hot"):
        assert holder.apply(holder.begin_heartbeat(), heartbeat_response(1, None, [(0, "hot", 1)]))
        assert check(holder, key="hot") is Refusal.NOT_OWNER
        assert check(holder, key="cold") is None
        assert holder.begin_heartbeat().released == ()
    assert holder.begin_heartbeat().released == ((Assignment("p", 0, "hot"), Fence(1, 1)),)
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(2, [(0, "", 3)]))
    assert check(holder, number=3, key="hot") is None


def test_an_isolated_key_takes_precedence_over_its_shard(holder: GrantHolder) -> None:
    both: list[GrantItem] = [(0, "", 1), (0, "hot", 2)]
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(2, both, [(0, "hot", 1)]))
    assert check(holder, number=2, key="hot") is None
    assert check(holder, number=1, key="hot") is Refusal.STALE_FENCE
    assert check(holder, number=1, key="cold") is None


def test_the_fence_of_a_lost_shard_is_remembered(holder: GrantHolder) -> None:
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(2, [(0, "", 5)]))
    assert holder.apply(holder.begin_heartbeat(), heartbeat_response(3, []))
    assert check(holder, number=4) is Refusal.STALE_FENCE
