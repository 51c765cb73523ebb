"""Command ``evacuate``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class Evacuate:
    """Evacuates a failure domain: its servers get no requests, and their keys move elsewhere."""

    name = "evacuate"
    summary = "stop sending requests to all servers of a failure domain"
    examples = "medlarpass --control http://127.0.0.1:7400 evacuate north"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("domain", metavar="DOMAIN")
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        path = f"/v1/evacuations/{quote(arguments.domain, safe='')}"
        response = await context.client().send_change("PUT", path, {}, change_id_from(arguments))
        context.output.write_line(f"{arguments.domain} is evacuated", response)
