"""Bar charts of the results."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

    from tools.measure.registry import Section
    from tools.measure.row import Row


def draw(folder: Path, section: Section, rows: list[Row]) -> Path:
    """Write one chart per section with one panel per figure and return its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(name for row in rows for name in row.figures))
    figure, panels = pyplot.subplots(
        len(names), 1, figsize=(12, 2.5 * len(names)), sharex=True, squeeze=False
    )
    labels = [f"{row.case}\n{row.policy}" for row in rows]
    for panel, name in zip(panels[:, 0], names, strict=True):
        panel.bar(range(len(rows)), [row.figures.get(name, 0.0) for row in rows])
        panel.set_ylabel(name)
    panels[-1, 0].set_xticks(range(len(rows)), labels, rotation=90, fontsize=6)
    figure.suptitle(section.title)
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{section.name}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
