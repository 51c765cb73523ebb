"""Baseline placements to compare :mod:`medlarpass.ownership.placement` with."""

from __future__ import annotations

import bisect

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from medlarpass.ownership.shard import Assignment

# With about 100 points per server the load of consistent hashing deviates by about 10% of the mean.
RING_POINTS_PER_SERVER = 100


def _hash(*parts: object) -> int:
    return xxhash.xxh64_intdigest("\0".join(str(part) for part in parts).encode())


def _fields_of(assignment: Assignment) -> tuple[object, ...]:
    return (assignment.pool, assignment.shard, assignment.key or "")


def modulo_hashing(
    assignments: Iterable[Assignment], servers: Sequence[str]
) -> dict[Assignment, str]:
    """Assign servers by hash modulo the number of servers.

    :param assignments: assignments to place
    :param servers: identities of the servers
    """
    sorted_servers = sorted(servers)
    return {
        assignment: sorted_servers[_hash(*_fields_of(assignment)) % len(sorted_servers)]
        for assignment in assignments
    }


def consistent_hashing(
    assignments: Iterable[Assignment], servers: Sequence[str]
) -> dict[Assignment, str]:
    """Assign servers on a hash ring (Karger et al. 1997).

    :param assignments: assignments to place
    :param servers: identities of the servers
    """
    ring = sorted(
        (_hash(server, point), server)
        for server in servers
        for point in range(RING_POINTS_PER_SERVER)
    )
    points = [point for point, _ in ring]
    return {
        assignment: ring[bisect.bisect(points, _hash(*_fields_of(assignment))) % len(ring)][1]
        for assignment in assignments
    }


def rendezvous_hashing(
    assignments: Iterable[Assignment], servers: Sequence[str]
) -> dict[Assignment, str]:
    """Assign servers by highest random weight (Thaler, Ravishankar 1998).

    :param assignments: assignments to place
    :param servers: identities of the servers
    """
    return {
        assignment: max(servers, key=lambda server: _hash(server, *_fields_of(assignment)))
        for assignment in assignments
    }
