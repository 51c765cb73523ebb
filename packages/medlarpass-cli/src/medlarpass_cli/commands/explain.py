"""Command ``explain``."""

from __future__ import annotations

import json
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from medlarpass_cli.exceptions import UsageError
from medlarpass_cli.request_explanation import RequestExplanation
from medlarpass_cli.request_explanation import parse_log

if TYPE_CHECKING:
    import argparse

    from collections.abc import Iterable

    from medlarpass_cli.command import Context

STANDARD_INPUT = Path("-")
#: Fields of a log event that only programs need; the table leaves them out.
HIDDEN_FIELDS = frozenset(
    {"timestamp", "message_type", "event", "task_uuid", "task_level", "request_id"}
)


class Explain:
    """Explains the outcome of a request from the logs of entries and control."""

    name = "explain"
    summary = "explain the outcome of a request from logs"
    examples = "medlarpass explain 9c41d07be2a35f68 entry-*.log control-*.log"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("request_id", metavar="ID", help="id of the request")
        parser.add_argument(
            "files",
            nargs="+",
            type=Path,
            metavar="FILE",
            help="logs of all processes that may have related events; - for standard input",
        )

    async def run(self, context: Context) -> None:
        """Show the related events, then those of the request, each oldest first.

        :raises UsageError: when a file can't be read
        """
        arguments = context.arguments
        events = [event for path in arguments.files for event in _read_events(path)]
        explanation = RequestExplanation(arguments.request_id, events)
        related = explanation.related_events()
        rows = [*map(_format_row, related), *map(_format_row, explanation.request_events)]
        rows.append({"time": "", "event": "cause", "details": explanation.cause})
        document = {
            "request_id": explanation.request_id,
            "cause": explanation.cause,
            "events": explanation.request_events,
            "related": related,
        }
        context.output.write_rows(["time", "event", "details"], rows, document)


def _read_events(path: Path) -> Iterable[dict[str, Any]]:
    if path == STANDARD_INPUT:
        return parse_log(sys.stdin.read())
    try:
        return parse_log(path.read_text(encoding="utf-8", errors="replace"))
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def _format_row(event: dict[str, Any]) -> dict[str, str]:
    details = {name: value for name, value in event.items() if name not in HIDDEN_FIELDS}
    return {
        "time": f"{event['timestamp']:.3f}",
        "event": str(event["message_type"]).removeprefix("medlarpass:"),
        "details": json.dumps(details, separators=(",", ":")),
    }
