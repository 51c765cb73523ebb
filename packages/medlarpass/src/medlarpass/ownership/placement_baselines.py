"""Simple placements that :mod:`medlarpass.ownership.placement` is measured against."""

from __future__ import annotations

import bisect

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass.ownership.shard import Assignment

# About 100 points per server keep the spread of consistent hashing near a tenth of the mean.
POINTS_PER_SERVER = 100


def _hash(*parts: object) -> int:
    return xxhash.xxh64_intdigest("\0".join(str(part) for part in parts).encode())


def _name(assignment: Assignment) -> tuple[object, ...]:
    return (assignment.pool, assignment.shard, assignment.key or "")


def modulo_hashing(
    assignments: Iterable[Assignment], servers: Sequence[str]
) -> dict[Assignment, str]:
    """Place by hash modulo the number of servers.

    :param assignments: assignments to place
    :param servers: identities of the servers
    """
    order = sorted(servers)
    return {each: order[_hash(*_name(each)) % len(order)] for each in assignments}


def consistent_hashing(
    assignments: Iterable[Assignment], servers: Sequence[str]
) -> dict[Assignment, str]:
    """Place on a hash ring (Karger et al. 1997).

    :param assignments: assignments to place
    :param servers: identities of the servers
    """
    ring = sorted(
        (_hash(server, point), server) for server in servers for point in range(POINTS_PER_SERVER)
    )
    points = [point for point, _ in ring]
    return {
        each: ring[bisect.bisect(points, _hash(*_name(each))) % len(ring)][1]
        for each in assignments
    }


def rendezvous_hashing(
    assignments: Iterable[Assignment], servers: Sequence[str]
) -> dict[Assignment, str]:
    """Place by highest random weight (Thaler, Ravishankar 1998).

    :param assignments: assignments to place
    :param servers: identities of the servers
    """
    return {
        each: max(servers, key=lambda server: _hash(server, *_name(each))) for each in assignments
    }
