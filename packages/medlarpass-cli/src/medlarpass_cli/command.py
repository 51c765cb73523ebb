"""Interface, context and common options of the commands."""

from __future__ import annotations

import uuid

from typing import TYPE_CHECKING
from typing import Protocol

from medlarpass_cli.client import ControlClient
from medlarpass_cli.exceptions import UsageError

if TYPE_CHECKING:
    import argparse

    from pathlib import Path

    from medlarpass_cli.output import Output

MAX_TOKEN_BYTES = 4096


class Context:
    """Arguments, output and client of one run of a command.

    :param arguments: parsed arguments
    :param output: writer of the result
    """

    __slots__ = ("arguments", "output")

    def __init__(self, arguments: argparse.Namespace, output: Output) -> None:
        self.arguments = arguments
        self.output = output

    def client(self) -> ControlClient:
        """Return a client for the control replicas given on the command line.

        :raises UsageError: when the URLs or the token file can't be used
        """
        return ControlClient(
            self.arguments.control,
            _read_token(self.arguments.token_file),
            self.arguments.timeout,
            self.arguments.ca,
        )


class Command(Protocol):
    """One subcommand of the program."""

    name: str
    #: One line in the list of commands of ``--help``.
    summary: str
    #: Shown below the options by ``--help`` of the command.
    examples: str

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        ...

    async def run(self, context: Context) -> None:
        """Run the command; every failure is raised as a ``MedlarpassError``."""
        ...


def add_change_id_option(parser: argparse.ArgumentParser) -> None:
    """Add the option ``--change-id``, which repeats a change under its first id."""
    parser.add_argument(
        "--change-id",
        default=None,
        metavar="ID",
        help="id of the change; give that of an earlier run to learn its result (default: new)",
    )


def change_id_from(arguments: argparse.Namespace) -> str:
    """Return the change id that the operator gave, or a new one."""
    return str(arguments.change_id or uuid.uuid4().hex)


def add_stale_option(parser: argparse.ArgumentParser) -> None:
    """Add the option ``--stale``, which allows reads without a majority."""
    parser.add_argument(
        "--stale",
        action="store_true",
        help="allow the local state of the replica, which may be old, when there is no majority",
    )


def stale_query(arguments: argparse.Namespace) -> dict[str, str]:
    """Return the query parameters that allow a stale read if ``--stale`` is set."""
    return {"stale": "true"} if arguments.stale else {}


def _read_token(path: Path | None) -> str | None:
    if path is None:
        return None
    try:
        token = path.read_bytes()[:MAX_TOKEN_BYTES].decode("ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(f"--token-file {path}: expected a readable token ({error})") from error
    if not token or not token.isprintable() or " " in token:
        raise UsageError(f"--token-file {path}: expected one token")
    return token
