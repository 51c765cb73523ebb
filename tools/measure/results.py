"""Text tables and JSON files of results, and comparison with the previous run."""

from __future__ import annotations

import json

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from tools.measure.options import Options
    from tools.measure.registry import Section
    from tools.measure.row import Row

Figures = dict[str, dict[str, float]]


def format_table(
    title: str, rows: list[Row], section: str = "", previous: Figures | None = None
) -> str:
    """Return the rows as an aligned table, grouped by case.

    :param title: heading
    :param rows: rows, those of one case next to each other
    :param section: name of the section
    :param previous: figures of the previous run; those that differ are shown in brackets
    """
    figure_names = list(dict.fromkeys(name for row in rows for name in row.figures))
    lines = [["case", "policy", *figure_names]]
    for index, row in enumerate(rows):
        is_same_case = index > 0 and rows[index - 1].case == row.case
        previous_figures = (previous or {}).get(_row_key(section, row), {})
        cells = [
            _format_figure(row.figures.get(name), previous_figures.get(name))
            for name in figure_names
        ]
        lines.append(["" if is_same_case else row.case, row.policy, *cells])
    widths = [max(len(line[column]) for line in lines) for column in range(len(lines[0]))]
    aligned_lines = [
        "  ".join(
            cell.ljust(width) if column < 2 else cell.rjust(width)
            for column, (cell, width) in enumerate(zip(line, widths, strict=True))
        ).rstrip()
        for line in lines
    ]
    return "\n".join([f"== {title}", *aligned_lines, ""])


def figures_path(folder: Path, options: Options) -> Path:
    """Return the file of runs with these options; quick and full runs are not comparable."""
    length = "quick" if options.quick else "full"
    return folder / f"{length}-{options.seed}.json"


def read(path: Path) -> Figures:
    """Return the figures of a file, or an empty dictionary if there is no file."""
    if not path.exists():
        return {}
    stored: Figures = json.loads(path.read_text())
    return stored


def write(path: Path, figures: Figures) -> None:
    """Write figures to a file and create its folder."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=1, sort_keys=True, ensure_ascii=False) + "\n")


def flatten(section: Section, rows: list[Row]) -> Figures:
    """Return the figures of a section, keyed by section, case and policy."""
    return {_row_key(section.name, row): row.figures for row in rows}


def compare(previous: Figures, new: Figures) -> tuple[int, list[str]]:
    """Return the number of figures common to both runs and one line per changed figure."""
    common = 0
    lines = []
    for key, figures in new.items():
        previous_figures = previous.get(key, {})
        for name, value in figures.items():
            common += name in previous_figures
            if name in previous_figures and previous_figures[name] != value:
                lines.append(f"{key} | {name}: {previous_figures[name]:g} -> {value:g}")
    return common, lines


def _row_key(section: str, row: Row) -> str:
    return f"{section} | {row.case} | {row.policy}"


def _format_figure(value: float | None, previous: float | None) -> str:
    if value is None:
        return ""
    if previous is None or previous == value:
        return f"{value:g}"
    return f"{value:g} ({previous:g})"
