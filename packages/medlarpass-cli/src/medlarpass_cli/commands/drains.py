"""Command ``drains``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.command import add_stale_option
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowDrains:
    """Shows the drained servers."""

    name = "drains"
    summary = "show drained servers"
    examples = "medlarpass --control http://127.0.0.1:7400 drains"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        add_stale_option(parser)

    async def run(self, context: Context) -> None:
        """Show the drains."""
        response = await context.client().read("/v1/drains", stale_query(context.arguments))
        rows = [{"server": server} for server in response["servers"]]
        context.output.write_rows(["server"], rows, response)
