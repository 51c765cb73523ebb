"""The way from a request's id to its cause, read from logs."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Number of the event that ends a request.
REQUEST_ENDED = 4110
#: Events of control about ranges that name first and last key.
RANGE_EVENTS = frozenset({6123, 6124, 6125, 6128})
#: Event of control with a list of ranges.
RANGES_ASSIGNED = 6122
#: Seconds before a request in which an event may be its cause; the longest hold is 10 s.
LOOK_BACK = 30.0
#: What the code of a request means, and what to look at next.
CAUSES = {
    "no_owner": "no server held the key: see the events about its range",
    "server_unreachable": "the server opened no connection or owed answers: see its events",
    "servers_busy": "no room at the servers that may run it: see moves of its range and the load",
    "server_refused": "the server shed it, or no longer held the key",
    "routes_unknown": "the entry had just started and knew no routes",
    "answer_lost": "the connection to the server broke before the answer",
    "deadline_outcome_unknown": "no answer came until the deadline",
    "deadline_exceeded": "the deadline passed before anything was sent",
    "route_not_found": "no route of the version in force matches",
}


class RequestStory:
    """Log lines about a request, and those that explain them.

    :param request_id: id of the request
    :param lines: events of all processes, parsed
    """

    __slots__ = ("events", "own", "request_id")

    def __init__(self, request_id: str, lines: Iterable[dict[str, Any]]) -> None:
        self.request_id = request_id
        self.events = sorted(lines, key=lambda event: float(event["timestamp"]))
        #: Events that carry the id of the request.
        self.own = [event for event in self.events if event.get("request_id") == request_id]

    @property
    def cause(self) -> str:
        """What is known about the cause, for people."""
        ended = [event for event in self.own if event["event"] == REQUEST_ENDED]
        if not self.own:
            return "no line has this id: it succeeded at its first server, or was not logged here"
        code = (ended or self.own)[-1].get("code")
        return CAUSES.get(code, f"code {code}") if code else "it succeeded after a repeat"

    def related(self) -> list[dict[str, Any]]:
        """Return events about the request's key and servers shortly before its end."""
        own = self.own
        if not own:
            return []
        until = float(own[-1]["timestamp"])
        servers = {event["server"] for event in own if event.get("server")}
        keys = {int(event["key"]) for event in own if str(event.get("key") or "").isdecimal()}
        found = [
            event
            for event in self.events
            if until - LOOK_BACK <= float(event["timestamp"]) <= until
            and "request_id" not in event
            and (_names_server(event, servers) or any(_names_key(event, key) for key in keys))
        ]
        pools = {event["pool"] for event in own if event.get("pool")}
        return [event for event in found if event.get("pool", next(iter(pools), "")) in pools]


def parsed_lines(text: str) -> Iterable[dict[str, Any]]:
    """Yield the events of a log; a line that was cut off by a crash is left out."""
    for line in text.splitlines():
        try:
            event = json.loads(line)
        except ValueError:
            continue
        if isinstance(event, dict) and "event" in event and "timestamp" in event:
            yield event


def _names_server(event: dict[str, Any], servers: set[str]) -> bool:
    return any(event.get(field) in servers for field in ("server", "source", "target"))


def _names_key(event: dict[str, Any], key: int) -> bool:
    if event["event"] in RANGE_EVENTS:
        return bool(event["first"] <= key <= event["last"])
    if event["event"] == RANGES_ASSIGNED:
        return any(first <= key <= last for first, last, *_ in event["ranges"])
    return False
