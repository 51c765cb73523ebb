"""Entries and relays that follow a control replica."""

from __future__ import annotations

import asyncio

from collections import Counter
from typing import TYPE_CHECKING
from typing import TypeVar

from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock

Stream = TypeVar("Stream")

#: Seconds after its last report for which a watcher counts as reached. Entries report more than
#: twice a second, so an entry that is cut off holds up no confirmation.
REACHED = 1.2


class FollowedState:
    """The newest state of the leader that a watcher, or each entry behind a relay, knows.

    :param report: report that says so
    :param reported_at: reading of the clock at its arrival
    """

    __slots__ = ("entries", "position", "reported_at")

    def __init__(self, report: fleet_pb2.EntryReport, reported_at: float) -> None:
        #: Term and mark.
        self.position = (report.term, report.mark)
        self.entries = report.entries
        self.reported_at = reported_at


class Watchers:
    """Knows who follows this replica, directly or through relays, and how far.

    :param clock: source of time; counts suspended time
    """

    __slots__ = ("clock", "entries_open", "followed", "relays", "reported")

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: Streams that each entry has open.
        self.entries_open: Counter[str] = Counter()
        #: Relays that watch this replica, by address and domain, and the streams of each.
        self.relays: Counter[tuple[str, str]] = Counter()
        #: What watchers have reported, by the name of an entry or the address of a relay.
        self.followed: dict[str, FollowedState] = {}
        #: Replaced and set on each report.
        self.reported = asyncio.Event()

    @property
    def direct(self) -> int:
        """Streams of entries that watch this replica."""
        return self.entries_open.total()

    @property
    def entries(self) -> int:
        """Entries that follow, directly or through relays."""
        behind = (self.followed.get(address) for address, _ in self.relays)
        return self.direct + sum(each.entries for each in behind if each is not None)

    def sources(self) -> Iterable[fleet_pb2.FleetSource]:
        """Yield the relays that can be followed."""
        for address, domain in self.relays:
            yield fleet_pb2.FleetSource(address=address, domain=domain)

    def opened(self, request: fleet_pb2.WatchRequest) -> None:
        """Count a new stream."""
        if request.is_relay:
            self.relays[request.address, request.domain] += 1
        else:
            self.entries_open[request.entry] += 1

    def closed(self, request: fleet_pb2.WatchRequest) -> None:
        """Count the end of a stream."""
        if request.is_relay:
            self._close(self.relays, (request.address, request.domain), request.address)
        else:
            self._close(self.entries_open, request.entry, request.entry)

    def take(self, report: fleet_pb2.EntryReport) -> None:
        """Take the report of a watcher with an open stream."""
        if report.entry not in self.entries_open and all(
            address != report.entry for address, _ in self.relays
        ):
            return
        self.followed[report.entry] = FollowedState(report, self.clock.now())
        self.reported.set()
        self.reported = asyncio.Event()

    def behind(self, position: tuple[int, int]) -> list[str]:
        """Return the watchers that are reached and do not know a state of the leader yet.

        :param position: term and mark
        """
        return [name for name, followed in self._reached() if followed.position < position]

    def oldest(self, own: tuple[int, int]) -> tuple[int, int]:
        """Return the term and mark that all watchers which are reached know.

        :param own: term and mark that this replica knows
        """
        return min((own, *(followed.position for _, followed in self._reached())))

    def _reached(self) -> Iterable[tuple[str, FollowedState]]:
        since = self.clock.now() - REACHED
        return (each for each in self.followed.items() if each[1].reported_at > since)

    def _close(self, streams: Counter[Stream], stream: Stream, name: str) -> None:
        streams[stream] -= 1
        if not streams[stream]:
            del streams[stream]
            self.followed.pop(name, None)
