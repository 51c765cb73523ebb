"""An answer that is ready to be passed to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass_daemon.entry.callers.answer import Answer
    from medlarpass_daemon.entry.callers.place import Place


class Delivery:
    """The answer of the attempt that succeeded.

    :param answer: answer whose headers have arrived
    :param place: place of the attempt, still open
    :param data: first part of the body
    """

    __slots__ = ("answer", "data", "place")

    def __init__(self, answer: Answer, place: Place, data: bytes) -> None:
        self.answer = answer
        self.place = place
        self.data = data
