"""Grants and pending releases of one server, as heartbeat responses carry them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from typing import TypeAlias

    from medlarpass.ownership.grant_table import GrantTable
    from medlarpass.rpc import control_pb2
    from medlarpass.rpc import domain_pb2 as pb

    ReleaseKey: TypeAlias = tuple[str, int, str, int]


class ServerGrants(Value):
    """Grants and pending releases of one server at one revision of the grant table.

    Cached because heartbeats read it far more often than it changes.

    :param table: grant table
    :param server: identity of the server
    :param incarnation: incarnation of the server
    """

    __slots__ = ("committed_count", "grants", "release_keys", "releases", "revision")

    def __init__(self, table: GrantTable, server: str, incarnation: int) -> None:
        self.revision = table.revision
        self.grants: list[control_pb2.GrantStatus] = table.grants_of(server, incarnation)
        self.releases: list[pb.ReleasedGrant] = table.releases_for(server, incarnation)
        self.release_keys = {release_key(release) for release in self.releases}
        self.committed_count = table.committed_count(server, incarnation)


def release_key(release: pb.ReleasedGrant) -> ReleaseKey:
    """Return the fields by which two releases are equal."""
    return (release.pool, release.shard, release.key, release.fence)
