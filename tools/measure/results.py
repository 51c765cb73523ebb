"""Text tables, JSON files and the comparison with the previous run."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from tools.measure.options import Options
    from tools.measure.registry import Section
    from tools.measure.row import Row

Figures = dict[str, dict[str, float]]


def table(title: str, rows: list[Row], section: str = "", old: Figures | None = None) -> str:
    """Return the rows as an aligned table, one block per case.

    :param title: heading
    :param rows: rows in the order of their cases
    :param section: name of the section
    :param old: figures of the previous run; one that differs is shown in brackets
    """
    names = list(dict.fromkeys(name for row in rows for name in row.figures))
    lines = [["case", "policy", *names]]
    for index, row in enumerate(rows):
        repeated = index > 0 and rows[index - 1].case == row.case
        before = (old or {}).get(_key(section, row), {})
        shown = [_shown(row.figures.get(name), before.get(name)) for name in names]
        lines.append(["" if repeated else row.case, row.policy, *shown])
    widths = [max(len(line[column]) for line in lines) for column in range(len(lines[0]))]
    text = [
        "  ".join(
            cell.ljust(width) if column < 2 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in lines
    ]
    return "\n".join([f"== {title}", *text, ""])


def path_of(folder: Path, options: Options) -> Path:
    """Return the file of runs with these options; runs of other length are not comparable."""
    length = "quick" if options.quick else "full"
    return folder / f"{length}-{options.seed}.json"


def read(path: Path) -> Figures:
    """Return the figures of a file, none if there is no file."""
    if not path.exists():
        return {}
    stored: Figures = json.loads(path.read_text())
    return stored


def write(path: Path, figures: Figures) -> None:
    """Write figures to a file."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=1, sort_keys=True, ensure_ascii=False) + "\n")


def flatten(section: Section, rows: list[Row]) -> Figures:
    """Return the figures of a section by section, case and policy."""
    return {_key(section.name, row): row.figures for row in rows}


def compare(old: Figures, new: Figures) -> tuple[int, list[str]]:
    """Return the number of figures that both runs have and one line for each that changed."""
    common = 0
    lines = []
    for key, figures in new.items():
        before = old.get(key, {})
        for name, value in figures.items():
            common += name in before
            if name in before and before[name] != value:
                lines.append(f"{key} | {name}: {before[name]:g} -> {value:g}")
    return common, lines


def _key(section: str, row: Row) -> str:
    return f"{section} | {row.case} | {row.policy}"


def _shown(value: float | None, before: float | None) -> str:
    if value is None:
        return ""
    if before is None or before == value:
        return f"{value:g}"
    return f"{value:g} ({before:g})"
