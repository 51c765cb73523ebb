"""Numbered log events, logged through eliot."""

from __future__ import annotations

import eliot


class Event:
    """Type of log event.

    :param number: unique number, listed in ``docs/events.md``
    :param name: message type in the log
    """

    __slots__ = ("name", "number")

    def __init__(self, number: int, name: str) -> None:
        self.number = number
        self.name = name

    def log(self, **fields: object) -> None:
        """Write the event.

        :param fields: JSON-serialisable fields
        """
        eliot.log_message(message_type=f"medlarpass:{self.name}", event=self.number, **fields)
