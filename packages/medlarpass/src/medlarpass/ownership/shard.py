"""Shards of a pool, and the assignments that a server can hold."""

from __future__ import annotations

import xxhash

from medlarpass.base import Value

KEY_SEPARATOR = "\0"


def shard_of(pool: str, key: str, shard_count: int) -> int:
    """Return the shard of a key, by the xxHash64 (Collet) of pool name and key.

    :param pool: name of the pool
    :param key: key of the request
    :param shard_count: number of shards of the pool, at least 1
    """
    text = f"{pool}{KEY_SEPARATOR}{key}"
    # Keys from HTTP may contain surrogates for bytes that are not valid UTF-8.
    return xxhash.xxh64_intdigest(text.encode(errors="surrogatepass")) % shard_count


class Assignment(Value):
    """A shard, or a single key that is isolated from its shard; one server at a time owns it.

    :param pool: name of the pool
    :param shard: number of the shard
    :param key: isolated key; ``None`` for the shard itself
    """

    __slots__ = ("_hash", "key", "pool", "shard")

    def __init__(self, pool: str, shard: int, key: str | None = None) -> None:
        self.pool = pool
        self.shard = shard
        self.key = key or None
        # Cached because assignments are keys of many dictionaries; they are never modified.
        self._hash = hash(self._fields())

    def _fields(self) -> tuple[str, int, str]:
        return (self.pool, self.shard, self.key or "")

    def __hash__(self) -> int:
        return self._hash

    def __eq__(self, other: object) -> bool:
        if self is other:
            return True
        return isinstance(other, Assignment) and self._fields() == other._fields()

    def __repr__(self) -> str:
        return f"Assignment(pool={self.pool!r}, shard={self.shard!r}, key={self.key!r})"

    def __lt__(self, other: Assignment) -> bool:
        return self._fields() < other._fields()

    @property
    def shard_assignment(self) -> Assignment:
        """The assignment of the whole shard: this one, or the shard of an isolated key."""
        return self if self.key is None else Assignment(self.pool, self.shard)
