"""Entry point: ``python -m tools.measure``."""

from __future__ import annotations

import argparse
import sys

from pathlib import Path
from time import perf_counter

from tools.measure import plots
from tools.measure import registry
from tools.measure import results
from tools.measure.options import Options

DEFAULT_SEED = 20


def parse(arguments: list[str] | None, names: list[str]) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="python -m tools.measure", description=__doc__)
    parser.add_argument("--quick", action="store_true", help="shorter traces")
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED, help="seed of all traces")
    parser.add_argument("--plots", action="store_true", help="write charts as well")
    parser.add_argument("--folder", type=Path, default=Path(".measure"), help="folder for results")
    parser.add_argument("--section", action="append", choices=names, help="only this section")
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Measure, print, store and compare."""
    sections = registry.load()
    chosen = parse(arguments, [each.name for each in sections])
    options = Options(chosen.seed, chosen.quick)
    path = results.path_of(chosen.folder, options)
    old = results.read(path)
    new: results.Figures = {}
    for each in sections:
        if chosen.section and each.name not in chosen.section:
            continue
        begin = perf_counter()
        rows = each.run(options)
        new |= results.flatten(each, rows)
        print(results.table(each.title, rows), flush=True)
        print(f"{each.name}: {perf_counter() - begin:.1f} s", file=sys.stderr)
        if chosen.plots:
            print(f"chart: {plots.draw(chosen.folder, each, rows)}")
    common, changed = results.compare(old, new)
    print(f"{len(changed)} of {common} figures changed against {path}")
    print("".join(f"  {line}\n" for line in changed), end="")
    results.write(path, old | new)
    return 0


if __name__ == "__main__":
    sys.exit(main())
