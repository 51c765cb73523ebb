"""Commands of the program, in the order of its help."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass_cli.commands.add_replica import AddReplica
from medlarpass_cli.commands.apply import Apply
from medlarpass_cli.commands.audit import ShowAudit
from medlarpass_cli.commands.check import Check
from medlarpass_cli.commands.delete_item import DeleteItem
from medlarpass_cli.commands.domains import ShowDomains
from medlarpass_cli.commands.drain import Drain
from medlarpass_cli.commands.drains import ShowDrains
from medlarpass_cli.commands.evacuate import Evacuate
from medlarpass_cli.commands.explain import Explain
from medlarpass_cli.commands.grants import ShowGrants
from medlarpass_cli.commands.in_force import ShowInForce
from medlarpass_cli.commands.list_items import ListItems
from medlarpass_cli.commands.put_item import PutItem
from medlarpass_cli.commands.remove_replica import RemoveReplica
from medlarpass_cli.commands.replace_replica import ReplaceReplica
from medlarpass_cli.commands.replicas import ShowReplicas
from medlarpass_cli.commands.return_domain import ReturnDomain
from medlarpass_cli.commands.servers import ShowServers
from medlarpass_cli.commands.show_item import ShowItem
from medlarpass_cli.commands.undrain import Undrain

if TYPE_CHECKING:
    from medlarpass_cli.command import Command

COMMANDS: tuple[Command, ...] = (
    Check(),
    Explain(),
    ListItems(),
    ShowItem(),
    PutItem(),
    DeleteItem(),
    Apply(),
    ShowInForce(),
    ShowServers(),
    ShowGrants(),
    Drain(),
    Undrain(),
    ShowDrains(),
    Evacuate(),
    ReturnDomain(),
    ShowReplicas(),
    ShowDomains(),
    AddReplica(),
    RemoveReplica(),
    ReplaceReplica(),
    ShowAudit(),
)

__all__ = ["COMMANDS"]
