"""Time after which a refused caller should retry."""

from __future__ import annotations

import random

from functools import singledispatch
from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import BodiesFullError
from medlarpass_daemon.entry.callers.exceptions import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import OwnerBusyError
from medlarpass_daemon.entry.callers.exceptions import PoolOverloadedError
from medlarpass_daemon.entry.callers.exceptions import ServerColdError
from medlarpass_daemon.entry.callers.exceptions import ServerOverloadedError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError
from medlarpass_daemon.entry.callers.exceptions import ServersEvacuatedError
from medlarpass_daemon.entry.callers.exceptions import ServersPausedError

if TYPE_CHECKING:
    from medlarpass import MedlarpassError

#: Bounds of the fraction of the route's target latency after which a caller retries at a server
#: that was full. By then hot keys have moved or the queue is shorter, and the rest of the target
#: is still enough for the response. The random spread keeps callers that were refused together
#: from retrying together.
MIN_TARGET_RATIO = 0.25
MAX_TARGET_RATIO = 0.5
#: Upper bound of the time of return in relation to that of the plan of control. Callers that all
#: entries refused under the same plan would otherwise come back together.
MAX_PLAN_RATIO = 2.0
#: The same for the owner of a key, whose queue becomes shorter within a second.
MAX_TURN_RATIO = 1.5
#: Bounds of the random factor for callers of a limited server. They return after the expected end
#: of the limit, and not all at once.
MIN_LIMIT_RATIO = 1.0
MAX_LIMIT_RATIO = 1.5


@singledispatch
def retry_after_seconds(error: MedlarpassError, target: float) -> float:
    """Return the seconds that a refused caller should wait before a retry.

    :param error: reason for the refusal
    :param target: target latency of the route in seconds
    """
    return error.retry_after


@retry_after_seconds.register(BodiesFullError)
@retry_after_seconds.register(ServersBusyError)
@retry_after_seconds.register(ServerRefusedError)
def _(error: MedlarpassError, target: float) -> float:
    return target * random.uniform(MIN_TARGET_RATIO, MAX_TARGET_RATIO)


@retry_after_seconds.register(NoOwnerError)
def _(error: NoOwnerError, target: float) -> float:
    # A key range moves to its new owner within a fraction of a second.
    return min(error.retry_after, target * random.uniform(MIN_TARGET_RATIO, MAX_TARGET_RATIO))


@retry_after_seconds.register(ServersEvacuatedError)
@retry_after_seconds.register(ServersPausedError)
def _(error: MedlarpassError, target: float) -> float:
    # The spread keeps callers that were refused in the same pause from returning together.
    return error.retry_after + target * random.uniform(0.0, MIN_TARGET_RATIO)


@retry_after_seconds.register(PoolOverloadedError)
def _(error: PoolOverloadedError, target: float) -> float:
    return error.retry_after * random.uniform(1.0, MAX_PLAN_RATIO)


@retry_after_seconds.register(OwnerBusyError)
def _(error: OwnerBusyError, target: float) -> float:
    seconds = max(error.retry_after, MIN_TARGET_RATIO * target)
    return seconds * random.uniform(1.0, MAX_TURN_RATIO)


@retry_after_seconds.register(ServerColdError)
@retry_after_seconds.register(ServerOverloadedError)
def _(error: MedlarpassError, target: float) -> float:
    return error.retry_after * random.uniform(MIN_LIMIT_RATIO, MAX_LIMIT_RATIO)
