"""Command ``drain``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class Drain:
    """Drains a server: it gets no new requests, and its keys move to other servers."""

    name = "drain"
    summary = "stop sending requests to a server and move its keys"
    examples = "medlarpass --control http://127.0.0.1:7400 drain stock-3"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("server", metavar="IDENTITY")
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        path = f"/v1/drains/{quote(arguments.server, safe='')}"
        response = await context.client().send_change("PUT", path, {}, change_id_from(arguments))
        context.output.write_line(f"{arguments.server} is drained", response)
