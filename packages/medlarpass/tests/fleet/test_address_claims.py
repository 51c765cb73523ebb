from __future__ import annotations

from medlarpass.fleet import AddressClaims
from medlarpass.fleet import ServerHeartbeat
from medlarpass.fleet import address_claims


def heartbeat(incarnation: int = 1, port: int = 80) -> ServerHeartbeat:
    """Return a heartbeat."""
    return ServerHeartbeat("a", incarnation, 1, "p", "10.0.0.1", port, "d", 3, False, 0.0)


def test_a_claim_is_new_once() -> None:
    """Guards against a log line for each heartbeat of a claimant."""
    claims = AddressClaims()
    assert claims.add(heartbeat())
    assert not claims.add(heartbeat())
    assert claims.add(heartbeat(incarnation=2))


def test_an_earlier_incarnation_does_not_replace_a_claim() -> None:
    """Guards against a late heartbeat that hides the server which has the address now."""
    claims = AddressClaims()
    claims.add(heartbeat(incarnation=2))
    assert not claims.add(heartbeat(incarnation=1))
    claims.drop(heartbeat(incarnation=1))
    assert [claim.incarnation for claim in claims.pending.values()] == [2]


def test_a_refuted_claim_is_not_made_again() -> None:
    """Guards against a question to a live server for each heartbeat that names its address."""
    claims = AddressClaims()
    claims.add(heartbeat())
    claims.refute(heartbeat())
    assert not claims.add(heartbeat())
    assert not claims.pending
    assert claims.add(heartbeat(incarnation=2))


def test_refuted_claims_are_bounded() -> None:
    """Guards against memory that grows with heartbeats of another writer."""
    claims = AddressClaims()
    for port in range(1, address_claims.MAX_REFUTED_COUNT + 10):
        claims.refute(heartbeat(port=port))
    assert len(claims.refuted) == address_claims.MAX_REFUTED_COUNT
