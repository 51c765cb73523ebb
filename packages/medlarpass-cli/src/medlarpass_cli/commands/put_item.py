"""Command ``put``."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from urllib.parse import quote

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from
from medlarpass_cli.exceptions import UsageError
from medlarpass_cli.tables_file import load_yaml

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class PutItem:
    """Creates or replaces a route or pool."""

    name = "put"
    summary = "create or replace a route or pool"
    examples = (
        "medlarpass --control http://127.0.0.1:7400 put pool stock stock.yaml --expected-version 0"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("kind", choices=["route", "pool"])
        parser.add_argument("item", metavar="NAME")
        parser.add_argument("file", type=Path, metavar="FILE", help="YAML or JSON document")
        parser.add_argument(
            "--expected-version",
            type=int,
            required=True,
            metavar="N",
            help="version you saw; 0 for an item that must not exist yet",
        )
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        document = load_yaml(arguments.file)
        if not isinstance(document, dict):
            raise UsageError(f"{arguments.file}: expected a mapping")
        response = await context.client().send_change(
            "PUT",
            f"/v1/{arguments.kind}s/{quote(arguments.item, safe='')}",
            {"expected_version": arguments.expected_version, "document": document},
            change_id_from(arguments),
        )
        context.output.write_rows(["kind", "name", "version"], response["items"], response)
