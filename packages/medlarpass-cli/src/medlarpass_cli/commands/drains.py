"""Command ``drains``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.command import add_stale_option
from medlarpass_cli.command import stale_query

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowDrains:
    """Shows the drained servers and the evacuated failure domains."""

    name = "drains"
    summary = "show drained servers and evacuated failure domains"
    examples = "medlarpass --control http://127.0.0.1:7400 drains"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        add_stale_option(parser)

    async def run(self, context: Context) -> None:
        """Show the drains, and the evacuations if there are any."""
        query = stale_query(context.arguments)
        drains = await context.client().read("/v1/drains", query)
        evacuations = await context.client().read("/v1/evacuations", query)
        document = {**drains, **evacuations}
        rows = [{"server": server} for server in document["servers"]]
        context.output.write_rows(["server"], rows, document)
        domains = [{"evacuated domain": domain} for domain in document["domains"]]
        if domains and context.output.output_format != "json":
            context.output.write_rows(["evacuated domain"], domains, document)
