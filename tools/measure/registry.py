"""Sections of the measurement.

A section is a function with the ``section`` decorator in a module listed in ``MODULES``.
"""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module

from tools.measure.options import Options
from tools.measure.row import Row

MODULES = (
    "balancing",
    "limits",
    "fairness",
    "retries",
    "hot_keys",
    "detection",
    "placement",
    "path",
    "slopes",
    "control_load",
)

SectionFunction = Callable[[Options], list[Row]]


class Section:
    """A named group of measurements.

    :param name: stable name, used in JSON and on the command line
    :param title: heading of the table
    :param run: function that measures
    :param is_timed: whether it measures time, memory or processes, and so has to run alone; the
        figures of the others depend on the seed only
    """

    __slots__ = ("is_timed", "name", "run", "title")

    def __init__(self, name: str, title: str, run: SectionFunction, is_timed: bool) -> None:
        self.name = name
        self.title = title
        self.run = run
        self.is_timed = is_timed


SECTIONS: dict[str, Section] = {}


def section(
    name: str, title: str, is_timed: bool = False
) -> Callable[[SectionFunction], SectionFunction]:
    """Register the decorated function as a section."""

    def register(run: SectionFunction) -> SectionFunction:
        SECTIONS[name] = Section(name, title, run, is_timed)
        return run

    return register


def load_sections() -> list[Section]:
    """Import all modules and return their sections in the order of ``MODULES``."""
    for name in MODULES:
        import_module(f"tools.measure.{name}")
    return list(SECTIONS.values())
