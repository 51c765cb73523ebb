"""Guards against value objects that compare by identity or ignore inherited slots."""

from __future__ import annotations

from medlarpass import Value


class Point(Value):
    __slots__ = ("x",)

    def __init__(self, x: int) -> None:
        self.x = x


class NamedPoint(Point):
    __slots__ = ("name",)

    def __init__(self, x: int, name: str) -> None:
        super().__init__(x)
        self.name = name


def test_equality_covers_inherited_slots() -> None:
    assert NamedPoint(1, "a") == NamedPoint(1, "a")
    assert NamedPoint(1, "a") != NamedPoint(2, "a")
    assert NamedPoint(1, "a") != Point(1)


def test_text_form_names_all_slots() -> None:
    assert repr(NamedPoint(1, "a")) == "NamedPoint(x=1, name='a')"
