"""Checks a journal of accepted enquiries for keys with two owners at a time."""

from __future__ import annotations

from collections import defaultdict
from typing import Any


def find_violations(events: list[dict[str, Any]]) -> list[str]:
    """Return each acceptance that violates G1, that a key has at most one owner at a time.

    A server accepts an enquiry between two readings of the clock. An acceptance is a violation if
    it began after an acceptance of the same key with a higher fence had ended, or if two servers
    accepted the same key under the same fence.

    :param events: events of the ownership journal of all servers
    """
    accepted: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in events:
        if event["event"] == "accepted":
            accepted[event["key"]].append(event)
    violations = []
    for key, acceptances in accepted.items():
        violations += _violations_of_key(key, acceptances)
    return violations


def _violations_of_key(key: str, acceptances: list[dict[str, Any]]) -> list[str]:
    violations = []
    holders: dict[int, str] = {}
    for acceptance in acceptances:
        holder = holders.setdefault(acceptance["fence"], acceptance["server"])
        if holder != acceptance["server"]:
            violations.append(
                f"{key}: {holder} and {acceptance['server']} with fence {acceptance['fence']:x}"
            )
    ended = sorted(acceptances, key=lambda acceptance: float(acceptance["after"]))
    ended_index = 0
    max_fence = -1
    for acceptance in sorted(acceptances, key=lambda acceptance: float(acceptance["before"])):
        while ended[ended_index]["after"] < acceptance["before"]:
            max_fence = max(max_fence, ended[ended_index]["fence"])
            ended_index += 1
        if acceptance["fence"] < max_fence:
            violations.append(
                f"{key}: {acceptance['server']} accepted fence {acceptance['fence']:x}"
                f" at {acceptance['before']} after fence {max_fence:x}"
            )
    return violations
