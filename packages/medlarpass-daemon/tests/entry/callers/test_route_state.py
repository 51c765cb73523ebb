from __future__ import annotations

from typing import Any

import pytest

from medlarpass import ManualClock
from medlarpass import Outcome
from medlarpass.dispatch import Download
from medlarpass.dispatch import RetryBudgetSettings
from medlarpass.dispatch import RetryDecision
from medlarpass.publication import CallerLimits
from medlarpass.publication import PublishedRoute
from medlarpass_daemon.entry.callers.route_state import RouteState


def route(attempts: int) -> PublishedRoute:
    """Return a route with a maximum number of attempts."""
    document: dict[str, Any] = {
        "host": "art.example",
        "prefix": "/art/",
        "class": "download",
        "timeout": 1,
        "target": 0.4,
        "priority": 2,
        "attempts": attempts,
        "shares": [{"pool": "art", "weight": 1}],
    }
    return PublishedRoute("art", document, CallerLimits({}), "Key")


def decision(state: RouteState, attempts: int) -> RetryDecision:
    """Return the decision after some attempts of a download whose responses were lost."""
    for _ in range(20):
        state.retry_policy.budget.request_started()
    return state.retry_policy.decide(Download(), Outcome.UNKNOWN, attempts, 1.0)


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_a_request_goes_to_no_more_servers_than_its_route_allows(attempts: int) -> None:
    """Guards against a request that is sent to more servers than the route allows."""
    state = RouteState(route(attempts), ManualClock(), RetryBudgetSettings())
    assert decision(state, attempts) is RetryDecision.ATTEMPTS_USED
    if attempts > 1:
        assert decision(state, attempts - 1) is RetryDecision.RETRY


def test_a_newer_version_of_the_route_is_followed() -> None:
    """Guards against a maximum number of attempts from an earlier configuration."""
    state = RouteState(route(3), ManualClock(), RetryBudgetSettings())
    state.update(route(1))
    assert decision(state, 1) is RetryDecision.ATTEMPTS_USED
