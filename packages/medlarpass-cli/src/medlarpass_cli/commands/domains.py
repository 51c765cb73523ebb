"""Command ``domains``."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowDomains:
    """Shows the failure domains."""

    name = "domains"
    summary = "show failure domains"
    examples = "medlarpass --control http://127.0.0.1:7400 domains"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    async def run(self, context: Context) -> None:
        """Show the domains."""
        response = await context.client().read("/v1/domains")
        columns = ["domain", "coordinator", "ballot", "needs_new_epochs", "servers", "grants"]
        context.output.write_rows(columns, response["domains"], response)
