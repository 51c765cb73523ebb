"""Command ``show``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_stale_option
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowItem:
    """Shows a route or pool with its document."""

    name = "show"
    summary = "show a route or pool"
    examples = "medlarpass --control http://127.0.0.1:7400 show pool stock"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("kind", choices=["route", "pool"])
        parser.add_argument("item", metavar="NAME")
        add_stale_option(parser)

    async def run(self, context: Context) -> None:
        """Show the item; its document is JSON in both output formats."""
        arguments = context.arguments
        path = f"/v1/{arguments.kind}s/{quote(arguments.item, safe='')}"
        response = await context.client().read(path, stale_query(arguments))
        context.output.write_document(response)
