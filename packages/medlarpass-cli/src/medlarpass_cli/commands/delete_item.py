"""Command ``delete``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class DeleteItem:
    """Deletes a route or pool."""

    name = "delete"
    summary = "delete a route or pool"
    examples = "medlarpass --control http://127.0.0.1:7400 delete route stock --expected-version 3"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("kind", choices=["route", "pool"])
        parser.add_argument("item", metavar="NAME")
        parser.add_argument(
            "--expected-version", type=int, required=True, metavar="N", help="version you saw"
        )
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        response = await context.client().send_change(
            "DELETE",
            f"/v1/{arguments.kind}s/{quote(arguments.item, safe='')}",
            {"expected_version": arguments.expected_version},
            change_id_from(arguments),
        )
        context.output.write_line(f"deleted {arguments.kind} {arguments.item}", response)
