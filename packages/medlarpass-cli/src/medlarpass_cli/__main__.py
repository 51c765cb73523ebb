"""Program ``medlarpass``."""

from __future__ import annotations

import argparse
import asyncio
import sys

from pathlib import Path
from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass_cli.command import Context
from medlarpass_cli.commands import COMMANDS
from medlarpass_cli.exceptions import CliError
from medlarpass_cli.exceptions import RefusedError
from medlarpass_cli.exit_status import ExitStatus
from medlarpass_cli.output import Output

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_TIMEOUT = 10.0
EXIT_STATUSES = """\
exit statuses:
  0  success
  1  refused by a control replica
  2  wrong arguments, or a settings, table or token file that can't be used
  3  conflict: the expected version is not the present one
  4  no control replica could answer; nothing was run
  5  a change was sent, but its result is not known
"""
EXAMPLES = """\
examples:
  medlarpass check entry.yaml tables.yaml
  medlarpass --control http://127.0.0.1:7400 --token-file token list pools
  medlarpass --control http://127.0.0.1:7400 --control http://127.0.0.1:7401 apply tables.yaml
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program.

    :param arguments: arguments without the program's name, those of the process by default
    :returns: the exit status
    """
    parsed = _parser().parse_args(arguments)
    parsed.control = [*parsed.control, *getattr(parsed, "more_control", [])]
    output = Output(parsed.output, sys.stdout, sys.stderr)
    try:
        asyncio.run(parsed.command.run(Context(parsed, output)))
    except RefusedError as error:
        output.error(error.answered_code, error.message, error.outcome.value)
        return error.exit_status
    except CliError as error:
        output.error(error.code, error.message, error.outcome.value)
        return error.exit_status
    except MedlarpassError as error:
        output.error(error.code, error.message, error.outcome.value)
        return ExitStatus.USAGE
    except KeyboardInterrupt:
        message = "a change that was sent may still take effect"
        output.error("interrupted", message, Outcome.UNKNOWN.value)
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="medlarpass",
        description="Operates medlarpass through any of its control replicas.",
        epilog=f"{EXAMPLES}\n{EXIT_STATUSES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    _add_globals(parser, defaults=True)
    commands = parser.add_subparsers(title="commands", metavar="COMMAND", required=True)
    for command in COMMANDS:
        subparser = commands.add_parser(
            command.name,
            help=command.summary,
            description=command.__doc__,
            epilog=f"examples:\n  {command.examples.replace(chr(10), chr(10) + '  ')}\n",
            formatter_class=argparse.RawDescriptionHelpFormatter,
            allow_abbrev=False,
        )
        command.add_arguments(subparser)
        _add_globals(subparser, defaults=False)
        subparser.set_defaults(command=command)
    return parser


def _add_globals(parser: argparse.ArgumentParser, defaults: bool) -> None:
    """Add the options that stand before or after the command."""

    def default(value: object) -> object:
        # Without this, the default of the command would replace the value given before it.
        return value if defaults else argparse.SUPPRESS

    group = parser.add_argument_group("control replicas and output")
    group.add_argument(
        "--control",
        # argparse would replace the URLs before the command by those after it.
        dest="control" if defaults else "more_control",
        action="append",
        default=default([]),
        metavar="URL",
        help="base URL of a control replica; repeat it to name others to try",
    )
    group.add_argument(
        "--token-file",
        type=Path,
        default=default(None),
        metavar="FILE",
        help="file with the bearer token",
    )
    group.add_argument(
        "--ca",
        type=Path,
        default=default(None),
        metavar="FILE",
        help="certificates of the authority for https URLs (default: the system's)",
    )
    group.add_argument("--output", choices=["table", "json"], default=default("table"))
    group.add_argument(
        "--timeout",
        type=_seconds,
        default=default(DEFAULT_TIMEOUT),
        metavar="SECONDS",
        help=f"for one exchange (default {DEFAULT_TIMEOUT:g})",
    )


def _seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError("expected seconds above 0, at most 3600")
    return value


if __name__ == "__main__":
    sys.exit(main())
