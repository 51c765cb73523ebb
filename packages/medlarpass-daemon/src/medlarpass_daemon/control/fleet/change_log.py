"""Latest changes of a set of items, for watchers that have an earlier version of it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Hashable

Key = TypeVar("Key", bound="Hashable")
Item = TypeVar("Item")

#: Changes that are kept; a watcher with an older version gets all items.
MAX_CHANGE_COUNT = 200


class ChangeLog(Generic[Key, Item]):
    """Computes for each watcher the changes since its version.

    The cost of recording a change does not depend on the number of watchers, and the size of an
    update does not depend on the number of items.
    """

    __slots__ = ("changes", "items", "version")

    def __init__(self) -> None:
        self.version = 0
        self.items: dict[Key, Item] = {}
        #: Version and changed keys of each change.
        self.changes: deque[tuple[int, list[Key]]] = deque(maxlen=MAX_CHANGE_COUNT)

    def replace(self, items: dict[Key, Item]) -> bool:
        """Replace the items.

        :returns: whether any item was added, changed or removed
        """
        previous, self.items = self.items, items
        changed = [key for key, item in items.items() if previous.get(key) != item]
        changed.extend(previous.keys() - items.keys())
        if not changed:
            return False
        self.version += 1
        self.changes.append((self.version, changed))
        return True

    def changed_since(self, version: int) -> tuple[list[Item], list[Key]] | None:
        """Return the items added or changed since a version, and the removed keys.

        :returns: None if the changes since then are no longer kept
        """
        if version > self.version or version < self.version - len(self.changes):
            return None
        keys = dict.fromkeys(
            key for changed_at, changed in self.changes if changed_at > version for key in changed
        )
        changed_items = [self.items[key] for key in keys if key in self.items]
        return changed_items, [key for key in keys if key not in self.items]
