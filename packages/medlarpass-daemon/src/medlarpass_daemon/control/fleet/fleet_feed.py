"""What the watchers of a control replica are told."""

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

#: Servers or ranges in one part of a whole view, about 15 KB. An entry has a thin link and takes a
#: stream for broken when no message comes; all of thousands of servers take seconds to arrive.
PART_ITEMS = 200


class Told:
    """What one watcher was told.

    :param publication: version of the publication that the watcher has in force
    """

    __slots__ = ("publication", "ranges", "servers", "sources", "transfer")

    def __init__(self, publication: int) -> None:
        self.publication = publication
        #: Parts of a newer publication that the watcher has not been sent yet.
        self.transfer: deque[fleet_pb2.PackedPublication] = deque()
        #: Versions of the logs; None before the first update.
        self.servers: int | None = None
        self.ranges: int | None = None
        self.sources: int | None = None

    @property
    def key(self) -> tuple[int | None, ...]:
        """All versions; watchers with the same ones get the same update."""
        version, part = 0, 0
        if self.transfer:
            version, part = self.transfer[0].version, self.transfer[0].part
        return self.publication, version, part, self.servers, self.ranges, self.sources

    @property
    def has_more(self) -> bool:
        """Whether the watcher waits for the rest of a publication."""
        return bool(self.transfer)


class FleetFeed:
    """Servers, ranges and publication under versions, with one update for many watchers.

    Hundreds of entries stand at the same versions most of the time, so that an update is built
    once for each change and not once for each entry.
    """

    __slots__ = (
        "changed",
        "controls",
        "entries",
        "mark",
        "parts",
        "publications",
        "ranges",
        "servers",
        "sources",
        "sources_version",
        "term",
        "updates",
    )

    def __init__(self) -> None:
        self.servers: ChangeLog[str, fleet_pb2.FleetServer] = ChangeLog()
        self.ranges = RangeLog()
        self.publications = PublicationLog()
        #: The leader and its relays.
        self.sources: list[fleet_pb2.FleetSource] = []
        #: Addresses of all control replicas.
        self.controls: list[str] = []
        #: Grows with each change of ``sources`` or ``controls``.
        self.sources_version = 0
        #: Term of the leader.
        self.term = 0
        #: State of the leader in its term that this feed contains; 0 while that is not known.
        self.mark = 0
        #: Entries that follow the leader, through relays or directly.
        self.entries = 0
        #: Updates that were built for watchers at the present versions.
        self.updates: dict[tuple[int | None, ...], fleet_pb2.FleetUpdate] = {}
        #: Parts of the whole view at the present versions, by the version that the entry has.
        self.parts: dict[int, list[fleet_pb2.FleetUpdate]] = {}
        #: Replaced and set on each change.
        self.changed = asyncio.Event()

    @property
    def publication_version(self) -> int:
        """Version of the publication; 0 before the first."""
        return self.publications.version

    def take_servers(self, servers: Iterable[fleet_pb2.FleetServer]) -> None:
        """Take all servers that are there."""
        if self.servers.replace({server.identity: server for server in servers}):
            self.touch()

    def take_ranges(self, ranges: Iterable[fleet_pb2.FleetRange]) -> None:
        """Take all ranges."""
        before = self.ranges.version
        self.ranges.update(ranges)
        if self.ranges.version != before:
            self.touch()

    def take_publication(self, document: dict[str, Any]) -> None:
        """Take the document of the publication in force; an older one never replaces it."""
        if self.publications.take(document):
            self.touch()

    def take_sources(self, controls: list[str], sources: list[fleet_pb2.FleetSource]) -> None:
        """Take the addresses at which control can be reached."""
        if (controls, sources) != (self.controls, self.sources):
            self.controls, self.sources = controls, sources
            self.sources_version += 1
            self.touch()

    def take_head(self, term: int, entries: int, mark: int) -> None:
        """Take what every update says; it alone wakes nobody.

        :param mark: state of the leader that the feed contains now; 0 while that is not known
        """
        if term != self.term:
            self.mark = 0
        head = (term, entries, mark or self.mark)
        if head != (self.term, self.entries, self.mark):
            self.term, self.entries, self.mark = head
            self._forget_updates()

    def touch(self) -> None:
        """Wake all watchers."""
        self._forget_updates()
        self.changed.set()
        self.changed = asyncio.Event()

    def update_for(self, told: Told) -> fleet_pb2.FleetUpdate:
        """Return what a watcher has not heard yet, and count it as told.

        Of a large publication an update brings one part; :attr:`Told.has_more` says whether more
        is due at once.
        """
        if not told.transfer:
            told.transfer.extend(self.publications.parts_since(told.publication))
        key = told.key
        update = self.updates.get(key)
        if update is None:
            update = self.updates[key] = self._build(told)
        if told.transfer:
            sent = told.transfer.popleft()
            if not told.transfer:
                told.publication = sent.version
        self._count_as_told(told)
        return update

    def parts_for(self, told: Told) -> list[fleet_pb2.FleetUpdate]:
        """Return the whole view in parts for an entry, and count it as told."""
        parts = self.parts.get(told.publication)
        if parts is None:
            parts = self.parts[told.publication] = whole_view(
                self._head(told),
                self.publications.parts_since(told.publication),
                self.servers.present.values(),
                self.ranges.present.values(),
            )
            parts[-1].mark = self.mark
        told.publication = max(told.publication, self.publication_version)
        self._count_as_told(told)
        return parts

    def _forget_updates(self) -> None:
        self.updates.clear()
        self.parts.clear()

    def _count_as_told(self, told: Told) -> None:
        told.servers, told.ranges = self.servers.version, self.ranges.version
        told.sources = self.sources_version

    def _is_last(self, told: Told) -> bool:
        """Return whether a watcher needs no further update to know all that is known here."""
        if not told.transfer:
            return told.publication >= self.publication_version
        return len(told.transfer) == 1 and told.transfer[0].version == self.publication_version

    def _head(self, told: Told) -> fleet_pb2.FleetUpdate:
        update = fleet_pb2.FleetUpdate(term=self.term, entries=self.entries)
        if told.sources != self.sources_version:
            update.controls.extend(self.controls)
            update.sources.extend(self.sources)
        return update

    def _build(self, told: Told) -> fleet_pb2.FleetUpdate:
        update = self._head(told)
        if told.transfer:
            update.publication.CopyFrom(told.transfer[0])
        if self._is_last(told):
            update.mark = self.mark
        servers = None if told.servers is None else self.servers.changed_since(told.servers)
        if servers is None:
            update.is_whole = True
            update.servers.extend(self.servers.present.values())
        else:
            update.servers.extend(servers[0])
            update.gone.extend(servers[1])
        ranges = None if told.ranges is None else self.ranges.since(told.ranges)
        if ranges is None:
            update.ranges.CopyFrom(fleet_pb2.RangeSet(ranges=self.ranges.present.values()))
        else:
            update.range_changes.extend(ranges)
        return update


def whole_view(
    head: fleet_pb2.FleetUpdate,
    publication: Iterable[fleet_pb2.PackedPublication],
    servers: Iterable[fleet_pb2.FleetServer],
    ranges: Iterable[fleet_pb2.FleetRange],
) -> list[fleet_pb2.FleetUpdate]:
    """Return a whole view in parts that are small enough for a thin link.

    :param head: first part, with what else has to be told
    :param publication: publication in parts
    :param servers: all servers
    :param ranges: all ranges
    """
    head.begins_whole = True
    parts = [head]
    for number, piece in enumerate(publication):
        if number:
            parts.append(fleet_pb2.FleetUpdate())
        parts[-1].publication.CopyFrom(piece)
    for servers_part in batched(servers, PART_ITEMS):
        parts.append(fleet_pb2.FleetUpdate(servers=servers_part))
    for ranges_part in batched(ranges, PART_ITEMS):
        parts.append(fleet_pb2.FleetUpdate(range_changes=ranges_part))
    for part in parts:
        part.term, part.entries = head.term, head.entries
        part.from_follower = head.from_follower
    parts[-1].ends_whole = True
    return parts


def batched(items: Iterable[Item], count: int) -> Iterable[list[Item]]:
    """Yield lists of ``count`` items at most."""
    rest = iter(items)
    while group := list(islice(rest, count)):
        yield group
