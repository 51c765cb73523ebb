"""Command ``add-replica``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.command import Context


class AddReplica:
    """Adds a replica, which becomes a voter once it has caught up."""

    name = "add-replica"
    summary = "add a replica of the control log"
    examples = (
        "medlarpass --control http://127.0.0.1:7400 add-replica control-6 "
        "--domain north --address 127.0.0.1:7106"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("replica", metavar="NAME", help="name of the new replica")
        parser.add_argument("--domain", required=True, help="failure domain of the new replica")
        parser.add_argument("--address", required=True, metavar="IP:PORT", help="its gRPC listener")
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Send the change."""
        arguments = context.arguments
        body = {
            "name": arguments.replica,
            "domain": arguments.domain,
            "address": arguments.address,
        }
        response = await context.client().send_change(
            "POST", "/v1/replicas", body, change_id_from(arguments)
        )
        context.output.write_line(f"added {arguments.replica} as a learner", response)
