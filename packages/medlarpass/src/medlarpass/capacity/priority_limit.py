"""Limit on the requests of one priority for a pool."""

from __future__ import annotations

from medlarpass.base import Value


class PriorityLimit(Value):
    """Share of the requests that is admitted, and when the others should come back.

    :param share: admitted share, from 0 to 1
    :param retry_after: seconds after which refused callers should come back
    """

    __slots__ = ("retry_after", "share")

    def __init__(self, share: float, retry_after: float) -> None:
        self.share = share
        self.retry_after = retry_after
