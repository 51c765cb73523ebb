"""Entries and relays that watch a control replica."""

from __future__ import annotations

import asyncio

from collections import Counter
from collections import deque
from typing import TYPE_CHECKING
from typing import TypeVar

from medlarpass.rpc import fleet_pb2

if TYPE_CHECKING:
    from collections.abc import Iterable

    from medlarpass import Clock

Stream = TypeVar("Stream")

#: Time after its last report for which a watcher counts as reachable. Entries report more than
#: twice a second; the limit keeps an unreachable entry from delaying confirmations.
REACHABILITY_SECONDS = 1.2
#: Time in which an entry that has lost its stream opens another one, unless it has ended. Until
#: then it may follow an older state, and no report tells.
RETURN_SECONDS = 2.0


class WatcherReport:
    """The newest state of the leader that a watcher, or every entry behind a relay, has.

    :param report: report of the watcher
    :param reported_at: time of its arrival
    """

    __slots__ = ("entry_count", "position", "reported_at")

    def __init__(self, report: fleet_pb2.EntryReport, reported_at: float) -> None:
        #: Term and feed revision.
        self.position = (report.term, report.mark)
        self.entry_count = report.entries
        self.reported_at = reported_at


class Watchers:
    """Tracks the watchers of this replica, direct or through relays, and their positions.

    :param clock: source of time; counts suspended time
    """

    __slots__ = (
        "clock",
        "domains",
        "earlier_counts",
        "entry_streams",
        "relay_streams",
        "reported",
        "reports",
    )

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        #: Failure domains of all entries and relays that have been heard of.
        self.domains: set[str] = set()
        #: Open streams by name of the entry.
        self.entry_streams: Counter[str] = Counter()
        #: Open streams by address and domain of the relay.
        self.relay_streams: Counter[tuple[str, str]] = Counter()
        #: Last reports by name of the entry or address of the relay.
        self.reports: dict[str, WatcherReport] = {}
        #: Numbers of entries that were watching until a time, oldest first.
        self.earlier_counts: deque[tuple[float, int]] = deque()
        #: Set and replaced on each report.
        self.reported = asyncio.Event()

    @property
    def direct_entry_count(self) -> int:
        """Number of streams of entries that watch this replica directly."""
        return self.entry_streams.total()

    @property
    def entry_count(self) -> int:
        """Number of entries that watch, directly or through relays."""
        reports = (self.reports.get(address) for address, _ in self.relay_streams)
        return self.direct_entry_count + sum(
            report.entry_count for report in reports if report is not None
        )

    @property
    def missing_count(self) -> int:
        """Number of entries that were watching shortly before and do not watch now."""
        self._drop_old_counts()
        most = max((count for _, count in self.earlier_counts), default=0)
        return max(most - self.entry_count, 0)

    def expect(self, count: int) -> None:
        """Record that a number of entries was watching until now."""
        self._drop_old_counts()
        self.earlier_counts.append((self.clock.now(), count))

    def sources(self) -> Iterable[fleet_pb2.FleetSource]:
        """Yield the relays that can be watched."""
        for address, domain in self.relay_streams:
            yield fleet_pb2.FleetSource(address=address, domain=domain)

    def add_stream(self, request: fleet_pb2.WatchRequest) -> None:
        """Record a new stream."""
        self.domains.add(request.domain)
        if request.is_relay:
            self.relay_streams[request.address, request.domain] += 1
        else:
            self.entry_streams[request.entry] += 1

    def remove_stream(self, request: fleet_pb2.WatchRequest) -> None:
        """Record the end of a stream."""
        count = self.entry_count
        if request.is_relay:
            self._remove_stream(
                self.relay_streams, (request.address, request.domain), request.address
            )
        else:
            self._remove_stream(self.entry_streams, request.entry, request.entry)
        self._record_decrease(count)

    def record_report(self, report: fleet_pb2.EntryReport) -> None:
        """Record the report of a watcher that has an open stream."""
        if report.entry not in self.entry_streams and all(
            address != report.entry for address, _ in self.relay_streams
        ):
            return
        self.domains.update(demand.domain for demand in report.demands)
        count = self.entry_count
        self.reports[report.entry] = WatcherReport(report, self.clock.now())
        self._record_decrease(count)
        self.reported.set()
        self.reported = asyncio.Event()

    def lagging(self, position: tuple[int, int]) -> list[str]:
        """Return the reachable watchers that do not have a state of the leader yet.

        :param position: term and feed revision of the state
        """
        return [name for name, report in self._reachable() if report.position < position]

    def oldest_position(self, own_position: tuple[int, int]) -> tuple[int, int]:
        """Return the lowest position among this replica and its reachable watchers.

        :param own_position: term and feed revision of this replica
        """
        return min((own_position, *(report.position for _, report in self._reachable())))

    def _drop_old_counts(self) -> None:
        since = self.clock.now() - RETURN_SECONDS
        while self.earlier_counts and self.earlier_counts[0][0] <= since:
            self.earlier_counts.popleft()

    def _record_decrease(self, previous_count: int) -> None:
        if self.entry_count < previous_count:
            self.expect(previous_count)

    def _reachable(self) -> Iterable[tuple[str, WatcherReport]]:
        since = self.clock.now() - REACHABILITY_SECONDS
        return (item for item in self.reports.items() if item[1].reported_at > since)

    def _remove_stream(self, streams: Counter[Stream], stream: Stream, name: str) -> None:
        streams[stream] -= 1
        if not streams[stream]:
            del streams[stream]
            self.reports.pop(name, None)
