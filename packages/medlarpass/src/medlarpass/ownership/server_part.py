"""What one server is told of the grants of its domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from typing import TypeAlias

    from medlarpass.ownership.grant_table import GrantTable
    from medlarpass.rpc import control_pb2
    from medlarpass.rpc import domain_pb2 as pb

    ReleaseKey: TypeAlias = tuple[str, int, str, int]


class ServerPart(Value):
    """A server's part of the grant table at one of its revisions.

    Heartbeats ask for it far more often than it changes.

    :param table: grant table
    :param server: identity of the server
    :param incarnation: incarnation of the server
    """

    __slots__ = ("committed", "grants", "release", "release_keys", "revision")

    def __init__(self, table: GrantTable, server: str, incarnation: int) -> None:
        self.revision = table.revision
        self.grants: list[control_pb2.GrantStatus] = table.grants_of(server, incarnation)
        self.release: list[pb.ReleasedGrant] = table.release_of(server, incarnation)
        self.release_keys = {release_key(each) for each in self.release}
        self.committed = table.committed_count(server, incarnation)


def release_key(item: pb.ReleasedGrant) -> ReleaseKey:
    """Return what makes two releases the same."""
    return (item.pool, item.shard, item.key, item.fence)
