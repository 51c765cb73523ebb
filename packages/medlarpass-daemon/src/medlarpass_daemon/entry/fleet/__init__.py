"""An entry that learns servers, owners and routes from control."""

from __future__ import annotations

from medlarpass_daemon.entry.fleet.fleet_entry_role import FleetEntryRole

__all__ = ["FleetEntryRole"]
