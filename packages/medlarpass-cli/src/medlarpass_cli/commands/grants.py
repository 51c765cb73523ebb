"""Command ``grants``."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowGrants:
    """Shows the owners of shards and hot keys."""

    name = "grants"
    summary = "show the owners of shards and hot keys"
    examples = "medlarpass --control http://127.0.0.1:7400 grants --pool stock"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("--pool", metavar="NAME", help="only grants of this pool")
        parser.add_argument("--server", metavar="IDENTITY", help="only grants of this server")

    async def run(self, context: Context) -> None:
        """Show the grants."""
        arguments = context.arguments
        filters = {"pool": arguments.pool, "server": arguments.server}
        query = {name: value for name, value in filters.items() if value is not None}
        response = await context.client().read("/v1/grants", query)
        columns = ["domain", "pool", "shard", "key", "server", "incarnation", "fence"]
        context.output.write_rows(columns, response["grants"], response)
