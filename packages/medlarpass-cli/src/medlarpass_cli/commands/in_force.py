"""Command ``in-force``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.command import add_stale_option
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowInForce:
    """Shows the revision in force in each process."""

    name = "in-force"
    summary = "show the revision in force by process"
    examples = "medlarpass --control http://127.0.0.1:7400 in-force"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        add_stale_option(parser)

    async def run(self, context: Context) -> None:
        """Show the processes; ``behind`` counts revisions that are accepted but not in force."""
        response = await context.client().read("/v1/in-force", stale_query(context.arguments))
        for place in response["places"]:
            place["behind"] = max(0, response["revision"] - place["revision"])
        columns = ["domain", "place", "revision", "behind", "age_ms"]
        context.output.write_rows(columns, response["places"], response)
