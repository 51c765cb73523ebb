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
# Sections that run at the same time; few, because the machine may be shared.
WORKERS = 4


def parse(arguments: list[str] | None, names: list[str]) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="python -m tools.measure", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter traces")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED, help="seed of all traces")
    parser.add_argument(
        "--no-plots", action="store_false", dest="plots", help="write no charts beside the figures"
    )
    parser.add_argument("--folder", type=Path, default=Path(".measure"), help="folder for results")
    parser.add_argument("--section", action="append", choices=names, help="only this section")
    return parser.parse_args(arguments)


def measure(name: str, options: Options) -> tuple[list[Row], float]:
    """Return the rows of a section and the seconds that it took."""
    section = next(each for each in registry.load_sections() if each.name == name)
    begin = perf_counter()
    return section.run(options), perf_counter() - begin


def main(arguments: list[str] | None = None) -> int:
    """Measure, print, store and compare."""
    sections = registry.load_sections()
    chosen = parse(arguments, [each.name for each in sections])
    options = Options(chosen.seed, chosen.quick)
    path = results.figures_path(chosen.folder, options)
    old = results.read(path)
    new: results.Figures = {}
    taken = [each for each in sections if not chosen.section or each.name in chosen.section]
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        waiting = {
            each.name: pool.submit(measure, each.name, options)
            for each in taken
            if not each.is_timed
        }
        wait(waiting.values())
        for each in taken:
            rows, seconds = (
                measure(each.name, options) if each.is_timed else waiting[each.name].result()
            )
            new |= results.flatten(each, rows)
            print(results.format_table(each.title, rows, each.name, old), flush=True)
            print(f"{each.name}: {seconds:.1f} s", file=sys.stderr)
            # Written after each section, so that a section that fails loses no others.
            results.write(path, old | new)
            if chosen.plots:
                plots.draw(chosen.folder, each, rows)
    common, changed = results.compare(old, new)
    print(f"{len(changed)} of {common} figures changed against {path}; old ones are in brackets")
    return 0


if __name__ == "__main__":
    sys.exit(main())
