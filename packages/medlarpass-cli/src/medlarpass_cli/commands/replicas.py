"""Command ``replicas``."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowReplicas:
    """Shows the replicas of the control log."""

    name = "replicas"
    summary = "show the replicas of the control log"
    examples = "medlarpass --control http://127.0.0.1:7400 replicas"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    async def run(self, context: Context) -> None:
        """Show the replicas."""
        response = await context.client().read("/v1/replicas")
        rows = [{**(replica["status"] or {}), **replica} for replica in response["replicas"]]
        columns = [
            "identity",
            "name",
            "domain",
            "address",
            "voter",
            "role",
            "term",
            "commit_index",
            "last_index",
        ]
        context.output.write_rows(columns, rows, response)
