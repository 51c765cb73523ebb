"""When an entry may respond that a route does not exist."""

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

#: Time after a confirmation within which entries must apply a publication.
MAX_LAG_SECONDS = 2.0


class AgedEntry:
    """The routing of an entry, with a clock that the test advances."""

    def __init__(self) -> None:
        self.clock = ManualClock(100.0)
        self.age = PublicationAge(self.clock, MAX_LAG_SECONDS)
        self.routing = FleetRouting(self.age)

    def apply_publication(self, version: int) -> None:
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
        self.routing.apply_part(part, PublicationAssembler())

    def record_newest_version(self, version: int, newest_until: float) -> None:
        self.age.record_newest_version(version, newest_until, self.routing.revision)

    def is_denied(self, path: str) -> bool:
        """Return whether a request gets status 404 instead of a temporary refusal."""
        try:
            self.routing.matcher.find("art.example", path, "GET")
        except RoutesUnknownError:
            return False
        except RouteNotFoundError:
            return True
        raise AssertionError("the route exists")


def test_an_entry_without_a_report_response_does_not_deny() -> None:
    """Guards against 404 from outdated routes that a restarted entry got from a follower's log."""
    entry = AgedEntry()
    entry.apply_publication(3)
    assert not entry.is_denied("/new/1")
    entry.record_newest_version(0, 100.0)
    assert not entry.is_denied("/new/1")
    entry.record_newest_version(3, 100.0)
    assert entry.is_denied("/new/1")


def test_a_partitioned_entry_keeps_its_routes_and_does_not_deny() -> None:
    """Guards against 404 for a route added during the partition, and against an outage."""
    entry = AgedEntry()
    entry.apply_publication(3)
    entry.record_newest_version(3, 100.0)
    entry.clock.advance(MAX_LAG_SECONDS)
    assert not entry.is_denied("/new/1")
    assert entry.routing.matcher.find("art.example", "/art/1", "GET").name == "art"


def test_an_entry_that_misses_a_known_version_refuses() -> None:
    """Guards against requests that are routed by a route that was moved or removed.

    On a saturated link the small responses to reports arrive although a large publication does not.
    """
    entry = AgedEntry()
    entry.apply_publication(3)
    for _ in range(4):
        entry.record_newest_version(4, entry.clock.now())
        assert not entry.is_denied("/new/1")
        assert entry.routing.matcher.find("art.example", "/art/1", "GET").name == "art"
        entry.clock.advance(0.35)
    entry.clock.advance(0.2)
    with pytest.raises(RoutesUnknownError):
        entry.routing.matcher.find("art.example", "/art/1", "GET")
    entry.apply_publication(4)
    assert entry.routing.matcher.find("art.example", "/art/1", "GET").name == "art"


def test_no_confirmed_route_is_denied_after_the_maximum_lag() -> None:
    """Guards against an order of confirmations, late responses and arrivals that leads to 404."""
    for seed in range(300):
        rng = random.Random(seed)
        entry = AgedEntry()
        #: Confirmed versions with their times.
        confirmed = [(1, 100.0)]
        entry.apply_publication(1)
        #: Responses in flight: time of arrival, reported version and time of the request.
        responses: list[tuple[float, int, float]] = []
        for _ in range(300):
            entry.clock.advance(rng.uniform(0.0, 0.1))
            now = entry.clock.now()
            if rng.random() < 0.1:
                confirmed.append((confirmed[-1][0] + 1, now))
            if rng.random() < 0.3:
                responses.append((now + rng.uniform(0.0, 2.5), confirmed[-1][0], now))
            for response in [pending for pending in responses if pending[0] <= now]:
                responses.remove(response)
                entry.record_newest_version(response[1], response[2])
            if rng.random() < 0.05:
                entry.apply_publication(rng.choice(confirmed)[0])
            due = max(
                version for version, at in confirmed if at <= max(now - MAX_LAG_SECONDS, 100.0)
            )
            if entry.routing.revision < due:
                assert not entry.is_denied("/new/1"), f"seed {seed}"
