"""Command ``delete``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id
from medlarpass_cli.command import change_id_of

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
        add_change_id(parser)

    async def run(self, context: Context) -> None:
        """Delete the item."""
        arguments = context.arguments
        answer = await context.client().change(
            "DELETE",
            f"/v1/{arguments.kind}s/{quote(arguments.item, safe='')}",
            {"expected_version": arguments.expected_version},
            change_id_of(arguments),
        )
        context.output.line(f"deleted {arguments.kind} {arguments.item}", answer)
