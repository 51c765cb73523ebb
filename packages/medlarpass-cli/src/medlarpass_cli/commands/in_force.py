"""Command ``in-force``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.command import add_stale
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowInForce:
    """Shows the revision in force at each place."""

    name = "in-force"
    summary = "show the revision in force by place"
    examples = "medlarpass --control http://127.0.0.1:7400 in-force"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        add_stale(parser)

    async def run(self, context: Context) -> None:
        """Show the places; ``behind`` counts revisions that are accepted but not in force."""
        answer = await context.client().read("/v1/in-force", stale_query(context.arguments))
        for place in answer["places"]:
            place["behind"] = max(0, answer["revision"] - place["revision"])
        columns = ["domain", "place", "revision", "behind", "age_ms"]
        context.output.rows(columns, answer["places"], answer)
