"""Command ``return-domain``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ReturnDomain:
    """Ends the evacuation of a failure domain."""

    name = "return-domain"
    summary = "end the evacuation of a failure domain"
    examples = "medlarpass --control http://127.0.0.1:7400 return-domain north"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("domain", metavar="DOMAIN")
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        path = f"/v1/evacuations/{quote(arguments.domain, safe='')}"
        response = await context.client().send_change("DELETE", path, {}, change_id_from(arguments))
        context.output.write_line(f"{arguments.domain} is in use", response)
