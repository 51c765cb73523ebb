"""Command ``audit``."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from medlarpass_cli.command import add_stale_option
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowAudit:
    """Shows the audit trail."""

    name = "audit"
    summary = "show the audit trail"
    examples = "medlarpass --control http://127.0.0.1:7400 --output json audit --after 120"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument(
            "--after", type=int, default=0, metavar="N", help="only records after this number"
        )
        parser.add_argument(
            "--limit", type=int, default=100, metavar="N", help="at most this many (default 100)"
        )
        add_stale_option(parser)

    async def run(self, context: Context) -> None:
        """Show the records, oldest first."""
        arguments = context.arguments
        query = {"after": str(arguments.after), "limit": str(arguments.limit)}
        response = await context.client().read("/v1/audit", query | stale_query(arguments))
        for record in response["records"]:
            recorded_at = datetime.fromtimestamp(record["time_ms"] / 1000, tz=UTC)
            record["time"] = recorded_at.isoformat(timespec="milliseconds")
        columns = ["number", "time", "author", "source", "action", "outcome", "revision"]
        context.output.write_rows([*columns, "change_id"], response["records"], response)
