"""Finds in the logs why a request ended as it did."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Iterable

#: Number of the log event at the end of a request.
REQUEST_ENDED_EVENT = 4110
#: Numbers of the log events of control about one range, with the fields ``first`` and ``last``.
RANGE_EVENTS = frozenset({6123, 6124, 6125, 6128})
#: Number of the log event of control with a list of ranges.
RANGES_ASSIGNED_EVENT = 6122
#: An event may be the cause of a request that ends at most this long after it; the longest lease
#: of a grant is 10 s.
CAUSE_WINDOW_SECONDS = 30.0
#: Meaning of the error codes of requests, and what to look at next.
CAUSES_BY_CODE = {
    "no_owner": "no server held the key: see the events about its range",
    "server_unreachable": "the server opened no connection or did not respond: see its events",
    "servers_busy": "no free slot at the servers that may run it: see its range moves and the load",
    "server_refused": "the server shed the request, or no longer held its key",
    "servers_paused": "the servers that may run it had asked for no requests: see event 4105",
    "server_cold": "the servers that may run it were cold: see events 5125 and 6160",
    "server_overloaded": "its key belongs to a server with too many requests: see event 6162",
    "servers_leaving": "the servers that may run it were leaving: see event 4104",
    "routes_unknown": "the entry had just started and had no routes yet",
    "answer_lost": "the connection to the server was lost before the response was complete",
    "deadline_outcome_unknown": "no answer came until the deadline",
    "deadline_exceeded": "the deadline passed before the request was sent to a server",
    "route_not_found": "no route of the version in force matches",
}


class RequestExplanation:
    """Log events of a request, and those of other processes that explain its outcome.

    :param request_id: id of the request
    :param events: parsed log events of all processes
    """

    __slots__ = ("events", "request_events", "request_id")

    def __init__(self, request_id: str, events: Iterable[dict[str, Any]]) -> None:
        self.request_id = request_id
        self.events = sorted(events, key=lambda event: float(event["timestamp"]))
        #: Events that carry the id of the request.
        self.request_events = [
            event for event in self.events if event.get("request_id") == request_id
        ]

    @property
    def cause(self) -> str:
        """Description of the cause, as text for the operator."""
        ended_events = [
            event for event in self.request_events if event["event"] == REQUEST_ENDED_EVENT
        ]
        if not self.request_events:
            return "no line has this id: it succeeded at its first server, or was not logged here"
        code = (ended_events or self.request_events)[-1].get("code")
        return CAUSES_BY_CODE.get(code, f"code {code}") if code else "it succeeded after a retry"

    def related_events(self) -> list[dict[str, Any]]:
        """Return events about the request's key and servers shortly before its end."""
        request_events = self.request_events
        if not request_events:
            return []
        ended_at = float(request_events[-1]["timestamp"])
        servers = {event["server"] for event in request_events if event.get("server")}
        keys = {
            int(event["key"]) for event in request_events if str(event.get("key") or "").isdecimal()
        }
        related = [
            event
            for event in self.events
            if ended_at - CAUSE_WINDOW_SECONDS <= float(event["timestamp"]) <= ended_at
            and "request_id" not in event
            and (_names_server(event, servers) or any(_names_key(event, key) for key in keys))
        ]
        pools = {event["pool"] for event in request_events if event.get("pool")}
        return [event for event in related if event.get("pool", next(iter(pools), "")) in pools]


def parse_log(text: str) -> Iterable[dict[str, Any]]:
    """Yield the events of a log; skips lines that are incomplete, for example after a crash."""
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
    if event["event"] == RANGES_ASSIGNED_EVENT:
        return any(first <= key <= last for first, last, *_ in event["ranges"])
    return False
