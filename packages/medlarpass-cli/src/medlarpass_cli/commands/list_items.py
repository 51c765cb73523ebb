"""Command ``list``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.command import add_stale_option
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ListItems:
    """Lists routes or pools with their versions."""

    name = "list"
    summary = "list routes or pools"
    examples = "medlarpass --control http://127.0.0.1:7400 list routes"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("kind", choices=["routes", "pools"])
        add_stale_option(parser)

    async def run(self, context: Context) -> None:
        """List the items."""
        kind = context.arguments.kind
        response = await context.client().read(f"/v1/{kind}", stale_query(context.arguments))
        rows = [{**item["document"], **item} for item in response["items"]]
        columns = ["name", "version", "host", "path", "methods", "class", "pool"]
        if kind == "pools":
            columns = ["name", "version", "owned", "shards", "favours"]
        context.output.write_rows(columns, rows, response)
