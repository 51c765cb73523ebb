"""Runs seeds of the fault soak: ``python -m tools.soak --first 1 --count 50``."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile

from pathlib import Path

from tools.soak.soak import Soak

#: Time during which faults are injected, per seed.
DEFAULT_FAULT_DURATION_SECONDS = 12.0


def main() -> int:
    """Run the seeds one after the other; the folders of failed seeds are listed with their logs."""
    parser = argparse.ArgumentParser(prog="python -m tools.soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=DEFAULT_FAULT_DURATION_SECONDS, help="seconds of faults"
    )
    parser.add_argument(
        "--pauses", action="store_true", help="servers also ask for no requests for a time"
    )
    parser.add_argument(
        "--evacuations",
        action="store_true",
        help="a failure domain is also evacuated in turn, and servers start cold",
    )
    options = parser.parse_args()
    failed_count = 0
    for seed in range(options.first, options.first + options.count):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = Soak(seed, folder, options.seconds, options.pauses, options.evacuations)
        violations = asyncio.run(soak.run())
        served = sum(request.status == 200 for request in soak.requests)
        print(f"seed {seed}: {served} of {len(soak.requests)} served, {len(soak.plan)} faults")
        if violations:
            failed_count += 1
            print(f"  logs in {folder}")
            for line in [*map(str, soak.plan), *violations]:
                print(f"  {line}")
        sys.stdout.flush()
    print(f"{options.count} seeds, {failed_count} failed")
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
