"""Checks a journal of accepted enquiries for owners that overlap."""

from __future__ import annotations

from collections import defaultdict
from typing import Any


def violations(events: list[dict[str, Any]]) -> list[str]:
    """Return each acceptance that contradicts G1.

    An acceptance lies between two readings of the clock. It is a violation when it began after an
    acceptance with a higher fence of the same key had ended, or when two servers accepted the same
    key under the same fence.

    :param events: events of the journal of all servers
    """
    accepted: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in events:
        if event["event"] == "accepted":
            accepted[event["key"]].append(event)
    found = []
    for key, acceptances in accepted.items():
        found += _of_key(key, acceptances)
    return found


def _of_key(key: str, acceptances: list[dict[str, Any]]) -> list[str]:
    found = []
    holder: dict[int, str] = {}
    for each in acceptances:
        first = holder.setdefault(each["fence"], each["server"])
        if first != each["server"]:
            found.append(f"{key}: {first} and {each['server']} with fence {each['fence']:x}")
    ended = sorted(acceptances, key=lambda each: float(each["after"]))
    position = 0
    highest = -1
    for each in sorted(acceptances, key=lambda each: float(each["before"])):
        while ended[position]["after"] < each["before"]:
            highest = max(highest, ended[position]["fence"])
            position += 1
        if each["fence"] < highest:
            found.append(
                f"{key}: {each['server']} accepted fence {each['fence']:x} at {each['before']}"
                f" after fence {highest:x}"
            )
    return found
