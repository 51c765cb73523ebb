"""When a refused caller should come back."""

from __future__ import annotations

import random

from functools import singledispatch
from typing import TYPE_CHECKING

from medlarpass_daemon.entry.callers.exceptions import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.exceptions import ServersBusyError

if TYPE_CHECKING:
    from medlarpass import MedlarpassError

#: Bounds of the share of the route's target after which a caller returns to a server that was
#: full. By then hot keys have moved or the queue is shorter, and the rest of the target is still
#: enough for the answer. The spread keeps the refused callers of a moment from returning together.
MIN_TARGET_RATIO = 0.25
MAX_TARGET_RATIO = 0.5


@singledispatch
def retry_after_seconds(error: MedlarpassError, target: float) -> float:
    """Return the seconds that a refused caller should wait.

    :param error: why it was refused
    :param target: seconds within which an answer of the route is worth most
    """
    return error.retry_after


@retry_after_seconds.register(ServersBusyError)
@retry_after_seconds.register(ServerRefusedError)
def _(error: MedlarpassError, target: float) -> float:
    return target * random.uniform(MIN_TARGET_RATIO, MAX_TARGET_RATIO)


@retry_after_seconds.register(NoOwnerError)
def _(error: NoOwnerError, target: float) -> float:
    # A range is on its way for a fraction of a second.
    return min(error.retry_after, target * random.uniform(MIN_TARGET_RATIO, MAX_TARGET_RATIO))
