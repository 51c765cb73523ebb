"""Command ``explain``."""

from __future__ import annotations

import json
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from medlarpass_cli.exceptions import UsageError
from medlarpass_cli.request_story import RequestStory
from medlarpass_cli.request_story import parsed_lines

if TYPE_CHECKING:
    import argparse

    from collections.abc import Iterable

    from medlarpass_cli.command import Context

STANDARD_INPUT = Path("-")
#: Fields of a log line that only a program needs.
HIDDEN = frozenset({"timestamp", "message_type", "event", "task_uuid", "task_level", "request_id"})


class Explain:
    """Tells from the logs of entries and control why a request ended as it did."""

    name = "explain"
    summary = "tell from logs why a request ended as it did"
    examples = "medlarpass explain 9c41d07be2a35f68 entry-*.log control-*.log"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("request_id", metavar="ID", help="id of the request")
        parser.add_argument(
            "files",
            nargs="+",
            type=Path,
            metavar="FILE",
            help="logs of all processes that may know something; - for standard input",
        )

    async def run(self, context: Context) -> None:
        """Show the lines about the request and those that explain them, oldest first.

        :raises UsageError: when a file can't be read
        """
        arguments = context.arguments
        lines = [line for path in arguments.files for line in _read(path)]
        story = RequestStory(arguments.request_id, lines)
        related = story.related()
        rows = [*map(_row, related), *map(_row, story.own)]
        rows.append({"time": "", "event": "cause", "details": story.cause})
        whole = {
            "request_id": story.request_id,
            "cause": story.cause,
            "events": story.own,
            "related": related,
        }
        context.output.rows(["time", "event", "details"], rows, whole)


def _read(path: Path) -> Iterable[dict[str, Any]]:
    if path == STANDARD_INPUT:
        return parsed_lines(sys.stdin.read())
    try:
        return parsed_lines(path.read_text(encoding="utf-8", errors="replace"))
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def _row(event: dict[str, Any]) -> dict[str, str]:
    details = {name: value for name, value in event.items() if name not in HIDDEN}
    return {
        "time": f"{event['timestamp']:.3f}",
        "event": str(event["message_type"]).removeprefix("medlarpass:"),
        "details": json.dumps(details, separators=(",", ":")),
    }
