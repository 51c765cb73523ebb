"""Command ``remove-replica``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class RemoveReplica:
    """Removes a replica."""

    name = "remove-replica"
    summary = "remove a replica of the control log"
    examples = "medlarpass --control http://127.0.0.1:7400 remove-replica 5f1c9e"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("identity", metavar="IDENTITY", help="identity shown by replicas")
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        path = f"/v1/replicas/{quote(arguments.identity, safe='')}"
        response = await context.client().send_change("DELETE", path, {}, change_id_from(arguments))
        context.output.write_line(f"removed {arguments.identity}", response)
