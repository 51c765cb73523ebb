"""Plays seeds of the soak: ``python -m tools.soak --first 1 --count 50``."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile

from pathlib import Path

from tools.soak.soak import Soak

#: Seconds of faults of a seed.
SECONDS = 12.0


def main() -> int:
    """Play seeds one after the other and keep the folder of each that fails."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="seconds of faults")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.count):
        path = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(seed, path, options.seconds)
        violations = asyncio.run(soak.run())
        served = sum(request.status == 200 for request in soak.requests)
        print(f"seed {seed}: {served} of {len(soak.requests)} served, {len(soak.plan)} faults")
        if violations:
            failed += 1
            print(f"  logs in {path}")
            for line in [*map(str, soak.plan), *violations]:
                print(f"  {line}")
        sys.stdout.flush()
    print(f"{options.count} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
