"""Base class of value objects."""

from __future__ import annotations


class Value:
    """Base class with slots whose instances compare equal when all their slots are equal."""

    __slots__ = ()

    def _fields(self) -> tuple[object, ...]:
        return tuple(
            getattr(self, name)
            for base in reversed(type(self).__mro__)
            for name in getattr(base, "__slots__", ())
        )

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self._fields() == other._fields()

    def __hash__(self) -> int:
        return hash(self._fields())

    def __repr__(self) -> str:
        names = [
            name for base in reversed(type(self).__mro__) for name in getattr(base, "__slots__", ())
        ]
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{type(self).__name__}({fields})"
