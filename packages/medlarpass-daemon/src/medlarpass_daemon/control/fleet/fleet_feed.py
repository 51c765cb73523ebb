"""Updates for the watchers of a control replica."""

from __future__ import annotations

import asyncio

from collections import deque
from itertools import islice
from typing import TYPE_CHECKING
from typing import TypeVar

from medlarpass.rpc import fleet_pb2
from medlarpass_daemon.control.fleet.change_log import ChangeLog
from medlarpass_daemon.control.fleet.publication_log import PublicationLog
from medlarpass_daemon.control.fleet.range_log import RangeLog

if TYPE_CHECKING:
    from collections.abc import Iterable
    from typing import Any

Item = TypeVar("Item")

#: Servers or ranges in one part of a whole view, about 15 KB. An entry may have a slow link, and it
#: treats a stream without messages as broken; thousands of servers at once take seconds to arrive.
PART_ITEM_COUNT = 200


class WatchCursor:
    """Versions that one watcher has been sent.

    :param publication: version of the publication that is in force at the watcher
    """

    __slots__ = ("publication", "ranges", "servers", "sources", "traffic", "transfer")

    def __init__(self, publication: int) -> None:
        self.publication = publication
        #: Parts of a newer publication that remain to be sent to the watcher.
        self.transfer: deque[fleet_pb2.PackedPublication] = deque()
        #: Versions of the change logs; None before the first update.
        self.servers: int | None = None
        self.ranges: int | None = None
        self.sources: int | None = None
        self.traffic: int | None = None

    @property
    def position(self) -> tuple[int | None, ...]:
        """All versions; watchers with equal versions get the same update."""
        version, part = 0, 0
        if self.transfer:
            version, part = self.transfer[0].version, self.transfer[0].part
        return (
            self.publication,
            version,
            part,
            self.servers,
            self.ranges,
            self.sources,
            self.traffic,
        )

    @property
    def has_more(self) -> bool:
        """Whether parts of a publication remain to be sent."""
        return bool(self.transfer)


class FleetFeed:
    """Versioned servers, ranges and publication, with updates that watchers share.

    Hundreds of entries have the same versions most of the time, so that an update is built once
    per change and not once per entry.
    """

    __slots__ = (
        "cached_parts",
        "cached_updates",
        "changed",
        "controls",
        "entry_count",
        "feed_revision",
        "publications",
        "ranges",
        "servers",
        "sources",
        "sources_version",
        "term",
        "traffic",
        "traffic_version",
    )

    def __init__(self) -> None:
        self.servers: ChangeLog[str, fleet_pb2.FleetServer] = ChangeLog()
        self.ranges = RangeLog()
        self.publications = PublicationLog()
        #: The leader and its relays.
        self.sources: list[fleet_pb2.FleetSource] = []
        #: Addresses of all control replicas.
        self.controls: list[str] = []
        #: Incremented with each change of ``sources`` or ``controls``.
        self.sources_version = 0
        #: Decisions of the leader on the traffic.
        self.traffic = fleet_pb2.TrafficPlan()
        #: Incremented with each change of ``traffic``.
        self.traffic_version = 0
        #: Term of the leader.
        self.term = 0
        #: State of the leader, within its term, that this feed contains; 0 while that is not known.
        self.feed_revision = 0
        #: Number of entries that watch the leader, directly or through relays.
        self.entry_count = 0
        #: Updates built for watchers since the last change, by their versions.
        self.cached_updates: dict[tuple[int | None, ...], fleet_pb2.FleetUpdate] = {}
        #: Whole views in parts since the last change, by the publication version of the entry.
        self.cached_parts: dict[int, list[fleet_pb2.FleetUpdate]] = {}
        #: Set and replaced on each change.
        self.changed = asyncio.Event()

    @property
    def publication_version(self) -> int:
        """Version of the publication; 0 before the first."""
        return self.publications.version

    def set_servers(self, servers: Iterable[fleet_pb2.FleetServer]) -> None:
        """Replace the servers."""
        if self.servers.replace({server.identity: server for server in servers}):
            self.wake_watchers()

    def set_ranges(self, ranges: Iterable[fleet_pb2.FleetRange]) -> None:
        """Replace the ranges."""
        previous_version = self.ranges.version
        self.ranges.update(ranges)
        if self.ranges.version != previous_version:
            self.wake_watchers()

    def set_publication(self, document: dict[str, Any]) -> None:
        """Replace the document of the publication in force, unless the new one is older."""
        if self.publications.add(document):
            self.wake_watchers()

    def set_sources(self, controls: list[str], sources: list[fleet_pb2.FleetSource]) -> None:
        """Replace the addresses at which control can be reached."""
        if (controls, sources) != (self.controls, self.sources):
            self.controls, self.sources = controls, sources
            self.sources_version += 1
            self.wake_watchers()

    def set_traffic(self, plan: fleet_pb2.TrafficPlan) -> None:
        """Replace the decisions on the traffic."""
        if plan != self.traffic:
            self.traffic = plan
            self.traffic_version += 1
            self.wake_watchers()

    def set_header(self, term: int, entry_count: int, feed_revision: int) -> None:
        """Replace the values in every update; this alone does not wake watchers.

        :param feed_revision: state of the leader that the feed contains now; 0 if not known
        """
        if term != self.term:
            self.feed_revision = 0
        header = (term, entry_count, feed_revision or self.feed_revision)
        if header != (self.term, self.entry_count, self.feed_revision):
            self.term, self.entry_count, self.feed_revision = header
            self._clear_updates()

    def wake_watchers(self) -> None:
        """Wake all watchers."""
        self._clear_updates()
        self.changed.set()
        self.changed = asyncio.Event()

    def update_for(self, cursor: WatchCursor) -> fleet_pb2.FleetUpdate:
        """Return what a watcher has not been sent yet, and advance its cursor.

        An update contains one part of a large publication; :attr:`WatchCursor.has_more` tells
        whether the next update is due at once.
        """
        if not cursor.transfer:
            cursor.transfer.extend(self.publications.parts_since(cursor.publication))
        position = cursor.position
        update = self.cached_updates.get(position)
        if update is None:
            update = self.cached_updates[position] = self._build_update(cursor)
        if cursor.transfer:
            sent = cursor.transfer.popleft()
            if not cursor.transfer:
                cursor.publication = sent.version
        self._advance(cursor)
        return update

    def whole_view_for(self, cursor: WatchCursor) -> list[fleet_pb2.FleetUpdate]:
        """Return the whole view in parts for an entry, and advance its cursor."""
        parts = self.cached_parts.get(cursor.publication)
        if parts is None:
            parts = self.cached_parts[cursor.publication] = whole_view(
                self._header(cursor),
                self.publications.parts_since(cursor.publication),
                self.servers.items.values(),
                self.ranges.items.values(),
            )
            parts[-1].mark = self.feed_revision
        cursor.publication = max(cursor.publication, self.publication_version)
        self._advance(cursor)
        return parts

    def _clear_updates(self) -> None:
        self.cached_updates.clear()
        self.cached_parts.clear()

    def _advance(self, cursor: WatchCursor) -> None:
        cursor.servers, cursor.ranges = self.servers.version, self.ranges.version
        cursor.sources, cursor.traffic = self.sources_version, self.traffic_version

    def _is_last_update(self, cursor: WatchCursor) -> bool:
        """Return whether the next update brings a watcher to the state of this feed."""
        if not cursor.transfer:
            return cursor.publication >= self.publication_version
        return len(cursor.transfer) == 1 and cursor.transfer[0].version == self.publication_version

    def _header(self, cursor: WatchCursor) -> fleet_pb2.FleetUpdate:
        update = fleet_pb2.FleetUpdate(term=self.term, entries=self.entry_count)
        if cursor.sources != self.sources_version:
            update.controls.extend(self.controls)
            update.sources.extend(self.sources)
        # A watcher without a plan has no limits, which an empty plan would not change.
        if cursor.traffic != self.traffic_version and (cursor.traffic or self.traffic_version):
            update.traffic.CopyFrom(self.traffic)
        return update

    def _build_update(self, cursor: WatchCursor) -> fleet_pb2.FleetUpdate:
        update = self._header(cursor)
        if cursor.transfer:
            update.publication.CopyFrom(cursor.transfer[0])
        if self._is_last_update(cursor):
            update.mark = self.feed_revision
        servers = None if cursor.servers is None else self.servers.changed_since(cursor.servers)
        if servers is None:
            update.is_whole = True
            update.servers.extend(self.servers.items.values())
        else:
            update.servers.extend(servers[0])
            update.gone.extend(servers[1])
        ranges = None if cursor.ranges is None else self.ranges.since(cursor.ranges)
        if ranges is None:
            update.ranges.CopyFrom(fleet_pb2.RangeSet(ranges=self.ranges.items.values()))
        else:
            update.range_changes.extend(ranges)
        return update


def whole_view(
    header: fleet_pb2.FleetUpdate,
    publication: Iterable[fleet_pb2.PackedPublication],
    servers: Iterable[fleet_pb2.FleetServer],
    ranges: Iterable[fleet_pb2.FleetRange],
) -> list[fleet_pb2.FleetUpdate]:
    """Return a whole view in parts that are small enough for a slow link.

    :param header: first part, with the other fields already set
    :param publication: publication in parts
    :param servers: all servers
    :param ranges: all ranges
    """
    header.begins_whole = True
    parts = [header]
    for index, piece in enumerate(publication):
        if index:
            parts.append(fleet_pb2.FleetUpdate())
        parts[-1].publication.CopyFrom(piece)
    for servers_part in batched(servers, PART_ITEM_COUNT):
        parts.append(fleet_pb2.FleetUpdate(servers=servers_part))
    for ranges_part in batched(ranges, PART_ITEM_COUNT):
        parts.append(fleet_pb2.FleetUpdate(range_changes=ranges_part))
    for part in parts:
        part.term, part.entries = header.term, header.entries
        part.from_follower = header.from_follower
    parts[-1].ends_whole = True
    return parts


def batched(items: Iterable[Item], count: int) -> Iterable[list[Item]]:
    """Yield the items in lists of at most ``count``."""
    rest = iter(items)
    while group := list(islice(rest, count)):
        yield group
