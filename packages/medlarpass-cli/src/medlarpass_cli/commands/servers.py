"""Command ``servers``."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class ShowServers:
    """Shows the backend servers that the failure domains report."""

    name = "servers"
    summary = "show backend servers"
    examples = "medlarpass --control http://127.0.0.1:7400 servers"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add no arguments."""

    async def run(self, context: Context) -> None:
        """Show the servers."""
        response = await context.client().read("/v1/servers")
        columns = [
            "domain",
            "identity",
            "incarnation",
            "ip",
            "port",
            "state",
            "drained",
            "pools",
            "slots",
            "in_flight",
            "holds_session",
            "age_ms",
        ]
        context.output.write_rows(columns, response["servers"], response)
