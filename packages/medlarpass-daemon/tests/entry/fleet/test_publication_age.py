"""What an entry may say of routes that it does not have."""

from __future__ import annotations

import json
import random

import pytest

from medlarpass import ManualClock
from medlarpass.tables import RouteNotFoundError
from medlarpass_daemon.entry.callers.exceptions import RoutesUnknownError
from medlarpass_daemon.entry.fleet.fleet_routing import FleetRouting
from medlarpass_daemon.entry.fleet.publication_age import PublicationAge
from medlarpass_daemon.publication_parts import PublicationAssembler
from medlarpass_daemon.publication_parts import pack_publication

#: Seconds after a confirmation within which entries have to follow.
WITHIN = 2.0


class AgedEntry:
    """The routes of an entry and a clock that the test moves."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.age = PublicationAge(self.clock, WITHIN)
        self.routing = FleetRouting(self.age)

    def put_in_force(self, version: int) -> None:
        document = {
            "version": version,
            "key_header": "Key",
            "routes": [
                {
                    "name": "art",
                    "host": "art.example",
                    "prefix": "/art/",
                    "class": "download",
                    "timeout": 1,
                    "target": 0.4,
                    "priority": 2,
                    "attempts": 2,
                    "shares": [{"pool": "art", "weight": 1}],
                }
            ],
            "pools": [{"name": "art", "owned": False, "connections": 10}],
            "limits": {},
        }
        text = json.dumps(document).encode()
        (part,) = pack_publication(version, text)
        self.routing.take(part, PublicationAssembler())

    def hear(self, version: int, known_at: float) -> None:
        self.age.heard(version, known_at, self.routing.revision)

    def denies(self, path: str) -> bool:
        """Return whether a request gets 404 rather than a refusal for now."""
        try:
            self.routing.matcher.find("art.example", path, "GET")
        except RoutesUnknownError:
            return False
        except RouteNotFoundError:
            return True
        raise AssertionError("the route is there")


def test_an_entry_that_was_told_nothing_does_not_deny() -> None:
    """Restart behind a follower: guards against 404 by the old routes of a follower's log."""
    entry = AgedEntry()
    entry.put_in_force(3)
    assert not entry.denies("/new/1")
    entry.hear(0, 100.0)
    assert not entry.denies("/new/1")
    entry.hear(3, 100.0)
    assert entry.denies("/new/1")


def test_a_cut_off_entry_goes_on_with_its_routes_and_does_not_deny() -> None:
    """Guards against 404 for a route that was added behind the cut, and against an outage."""
    entry = AgedEntry()
    entry.put_in_force(3)
    entry.hear(3, 100.0)
    entry.clock.advance(WITHIN)
    assert not entry.denies("/new/1")
    assert entry.routing.matcher.find("art.example", "/art/1", "GET").name == "art"


def test_an_entry_that_misses_a_known_version_refuses() -> None:
    """Full link: guards against requests that a server runs by a route that was moved or dropped.

    The answers to reports are small and arrive although a large publication does not.
    """
    entry = AgedEntry()
    entry.put_in_force(3)
    for _ in range(4):
        entry.hear(4, entry.clock.now())
        assert not entry.denies("/new/1")
        assert entry.routing.matcher.find("art.example", "/art/1", "GET").name == "art"
        entry.clock.advance(0.35)
    entry.clock.advance(0.2)
    with pytest.raises(RoutesUnknownError):
        entry.routing.matcher.find("art.example", "/art/1", "GET")
    entry.put_in_force(4)
    assert entry.routing.matcher.find("art.example", "/art/1", "GET").name == "art"


def test_nothing_confirmed_is_denied_after_the_bound() -> None:
    """Guards against an order of confirmations, late answers and arrivals that leads to 404."""
    for seed in range(300):
        chooser = random.Random(seed)
        entry = AgedEntry()
        #: Confirmed versions with their times.
        confirmed = [(1, 100.0)]
        entry.put_in_force(1)
        #: Answers on their way: when they arrive, what they say and when they were asked for.
        answers: list[tuple[float, int, float]] = []
        for _ in range(300):
            entry.clock.advance(chooser.uniform(0.0, 0.1))
            now = entry.clock.now()
            if chooser.random() < 0.1:
                confirmed.append((confirmed[-1][0] + 1, now))
            if chooser.random() < 0.3:
                answers.append((now + chooser.uniform(0.0, 2.5), confirmed[-1][0], now))
            for answer in [each for each in answers if each[0] <= now]:
                answers.remove(answer)
                entry.hear(answer[1], answer[2])
            if chooser.random() < 0.05:
                entry.put_in_force(chooser.choice(confirmed)[0])
            due = max(version for version, at in confirmed if at <= max(now - WITHIN, 100.0))
            if entry.routing.revision < due:
                assert not entry.denies("/new/1"), f"seed {seed}"
