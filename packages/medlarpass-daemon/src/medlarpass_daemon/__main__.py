"""Command line interface of the daemon ``medlarpassd``."""

from __future__ import annotations

import argparse
import os
import sys

from pathlib import Path
from typing import TYPE_CHECKING

from medlarpass import BootClock
from medlarpass import MedlarpassError
from medlarpass_daemon.settings import SettingsError
from medlarpass_daemon.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from collections.abc import Sequence

    from medlarpass_daemon.settings import DaemonSettings

EXIT_FAILURE = 1
EXIT_USAGE = 2

EXAMPLES = """examples:
  medlarpassd --settings entry-a1.yaml               run the roles in the file
  medlarpassd --settings control-a.yaml --initialise  prepare the disk of a new replica, once
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon.

    :param arguments: command line arguments without the program name
    :returns: exit status: 0 after a graceful shutdown, 1 after a failure, 2 for invalid usage or
        settings
    """
    options = _create_parser().parse_args(arguments)
    # Disables io_uring for file access in libuv, because the platform does not allow it. libuv
    # reads the variable when the event loop starts.
    os.environ["UV_USE_IO_URING"] = "0"
    try:
        settings = load_settings(options.settings)
        if options.initialise:
            return _initialise(settings)
        return _run(settings)
    except SettingsError as error:
        print(f"medlarpassd: {error.code}: {error.message}", file=sys.stderr)
        return EXIT_USAGE
    except MedlarpassError as error:
        print(f"medlarpassd: {error.code}: {error.message}", file=sys.stderr)
        return EXIT_FAILURE


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="medlarpassd",
        description="Router daemon with the roles entry and control.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--settings", type=Path, required=True, help="settings file (YAML)")
    parser.add_argument(
        "--initialise",
        action="store_true",
        help="write the first membership into the empty data folder and exit",
    )
    return parser


def _initialise(settings: DaemonSettings) -> int:
    from medlarpass_daemon.control.control_role import initialise

    if settings.control is None:
        raise SettingsError("--initialise", "roles", "expected control among the roles")
    return _run_in_loop(initialise(settings, settings.control, BootClock()))


def _run(settings: DaemonSettings) -> int:
    from medlarpass_daemon.application import run_application

    return _run_in_loop(run_application(settings))


def _run_in_loop(coroutine: Coroutine[None, None, int | None]) -> int:
    import aiomisc
    import uvloop

    # The application handles signals itself: aiomisc limits its own shutdown to one minute, while a
    # graceful shutdown may wait hours for downloads to finish.
    with aiomisc.entrypoint(
        loop_factory=uvloop.new_event_loop, log_config=False, catch_signals=()
    ) as loop:
        return loop.run_until_complete(coroutine) or 0


if __name__ == "__main__":
    sys.exit(main())
