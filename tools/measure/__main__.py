"""Entry point: ``python -m tools.measure``."""

from __future__ import annotations

import argparse
import sys

from concurrent.futures import ProcessPoolExecutor
from concurrent.futures import wait
from pathlib import Path
from time import perf_counter
from typing import TYPE_CHECKING

from tools.measure import plots
from tools.measure import registry
from tools.measure import results
from tools.measure.options import Options

if TYPE_CHECKING:
    from tools.measure.row import Row

DEFAULT_SEED = 20
# Sections that run concurrently; few, because the machine may be shared.
WORKER_COUNT = 4


def parse_arguments(arguments: list[str] | None, section_names: list[str]) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="python -m tools.measure", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter traces")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED, help="seed of all traces")
    parser.add_argument(
        "--no-plots", action="store_false", dest="plots", help="write no charts beside the figures"
    )
    parser.add_argument("--folder", type=Path, default=Path(".measure"), help="folder for results")
    parser.add_argument(
        "--section", action="append", choices=section_names, help="only this section"
    )
    return parser.parse_args(arguments)


def measure(name: str, options: Options) -> tuple[list[Row], float]:
    """Return the rows of a section and its duration in seconds."""
    section = next(section for section in registry.load_sections() if section.name == name)
    started_at = perf_counter()
    return section.run(options), perf_counter() - started_at


def main(arguments: list[str] | None = None) -> int:
    """Run the selected sections and print, store and compare their figures."""
    sections = registry.load_sections()
    parsed = parse_arguments(arguments, [section.name for section in sections])
    options = Options(parsed.seed, parsed.quick)
    path = results.figures_path(parsed.folder, options)
    previous = results.read(path)
    current: results.Figures = {}
    selected = [
        section for section in sections if not parsed.section or section.name in parsed.section
    ]
    with ProcessPoolExecutor(max_workers=WORKER_COUNT) as pool:
        futures = {
            section.name: pool.submit(measure, section.name, options)
            for section in selected
            if not section.is_timed
        }
        wait(futures.values())
        for section in selected:
            rows, seconds = (
                measure(section.name, options)
                if section.is_timed
                else futures[section.name].result()
            )
            current |= results.flatten(section, rows)
            print(results.format_table(section.title, rows, section.name, previous), flush=True)
            print(f"{section.name}: {seconds:.1f} s", file=sys.stderr)
            # Written after each section, so that a failing section loses no others.
            results.write(path, previous | current)
            if parsed.plots:
                plots.draw(parsed.folder, section, rows)
    common, changed = results.compare(previous, current)
    print(f"{len(changed)} of {common} figures changed against {path}; old ones are in brackets")
    return 0


if __name__ == "__main__":
    sys.exit(main())
