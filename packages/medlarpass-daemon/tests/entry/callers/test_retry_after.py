"""Time after which refused callers retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from medlarpass_daemon.entry.callers.exceptions import KeyMovedError
from medlarpass_daemon.entry.callers.exceptions import RoutesUnknownError
from medlarpass_daemon.entry.callers.exceptions import ServerColdError
from medlarpass_daemon.entry.callers.exceptions import ServerOverloadedError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError
from medlarpass_daemon.entry.callers.retry_after import retry_after_seconds

if TYPE_CHECKING:
    from medlarpass import MedlarpassError

TARGET_SECONDS = 1.5


@pytest.mark.parametrize("error", [ServersBusyError("full"), ServerRefusedError("shedding")])
def test_callers_of_a_hot_key_retry_apart_and_in_time(error: MedlarpassError) -> None:
    """Guards against callers of a hot key that all retry at the same full server at the same time.

    A caller retries once; its wait must leave time for a response within the target latency.
    """
    times = sorted(retry_after_seconds(error, TARGET_SECONDS) for _ in range(200))
    assert times[0] >= 0.25 * TARGET_SECONDS
    assert times[-1] <= 0.5 * TARGET_SECONDS
    assert times[-1] - times[0] > 0.2 * TARGET_SECONDS


def test_a_moving_key_is_asked_for_again_soon() -> None:
    """Guards against callers of a moving key that miss their target latency by waiting."""
    assert retry_after_seconds(KeyMovedError("moved"), 0.6) <= 0.3
    assert retry_after_seconds(KeyMovedError("moved"), 60.0) == KeyMovedError.retry_after


def test_other_errors_keep_their_time() -> None:
    """Guards against a wait that does not depend on the error."""
    error = RoutesUnknownError("none yet")
    assert retry_after_seconds(error, TARGET_SECONDS) == error.retry_after


@pytest.mark.parametrize(
    ("error", "seconds"),
    [(ServerColdError("cold", 8.0), 8.0), (ServerOverloadedError("busy"), 1.0)],
)
def test_callers_of_a_limited_server_retry_apart_after_its_limit(
    error: MedlarpassError, seconds: float
) -> None:
    """Guards against callers that return together, or while the server is still limited."""
    times = sorted(retry_after_seconds(error, TARGET_SECONDS) for _ in range(200))
    assert times[0] >= seconds
    assert times[-1] <= 1.5 * seconds
    assert times[-1] - times[0] > 0.4 * seconds
