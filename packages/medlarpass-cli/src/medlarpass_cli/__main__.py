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

DEFAULT_TIMEOUT_SECONDS = 10.0
EXIT_STATUS_HELP = """\
exit statuses:
  0  success
  1  refused by a control replica
  2  wrong arguments, or a settings, table or token file that can't be used
  3  conflict: the expected version is not the current one
  4  no control replica was available; nothing was run
  5  a change was sent, but its result is not known
"""
EXAMPLES_HELP = """\
examples:
  medlarpass check entry.yaml tables.yaml
  medlarpass --control http://127.0.0.1:7400 --token-file token list pools
  medlarpass --control http://127.0.0.1:7400 --control http://127.0.0.1:7401 apply tables.yaml
"""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program.

    :param arguments: arguments without the program's name, those of ``sys.argv`` by default
    :returns: the exit status
    """
    parsed = _create_parser().parse_args(arguments)
    parsed.control = [*parsed.control, *getattr(parsed, "more_control", [])]
    output = Output(parsed.output, sys.stdout, sys.stderr)
    try:
        asyncio.run(parsed.command.run(Context(parsed, output)))
    except RefusedError as error:
        output.write_error(error.response_code, error.message, error.outcome.value)
        return error.exit_status
    except CliError as error:
        output.write_error(error.code, error.message, error.outcome.value)
        return error.exit_status
    except MedlarpassError as error:
        output.write_error(error.code, error.message, error.outcome.value)
        return ExitStatus.USAGE
    except KeyboardInterrupt:
        message = "a change that was sent may still take effect"
        output.write_error("interrupted", message, Outcome.UNKNOWN.value)
        return ExitStatus.INTERRUPTED
    return ExitStatus.SUCCESS


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="medlarpass",
        description="Operates medlarpass through any of its control replicas.",
        epilog=f"{EXAMPLES_HELP}\n{EXIT_STATUS_HELP}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
    )
    _add_global_options(parser, defaults=True)
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
        _add_global_options(subparser, defaults=False)
        subparser.set_defaults(command=command)
    return parser


def _add_global_options(parser: argparse.ArgumentParser, defaults: bool) -> None:
    """Add the options that may stand before or after the command."""

    def default(value: object) -> object:
        # A default of the subparser would overwrite the value given before the command.
        return value if defaults else argparse.SUPPRESS

    group = parser.add_argument_group("control replicas and output")
    group.add_argument(
        "--control",
        # With one destination, argparse would replace URLs given before the command by those
        # given after it.
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
        help="CA certificates for https URLs (default: the system's)",
    )
    group.add_argument("--output", choices=["table", "json"], default=default("table"))
    group.add_argument(
        "--timeout",
        type=_parse_seconds,
        default=default(DEFAULT_TIMEOUT_SECONDS),
        metavar="SECONDS",
        help=f"for one request and its response (default {DEFAULT_TIMEOUT_SECONDS:g})",
    )


def _parse_seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= 3600:
        raise argparse.ArgumentTypeError("expected seconds above 0, at most 3600")
    return value


if __name__ == "__main__":
    sys.exit(main())
