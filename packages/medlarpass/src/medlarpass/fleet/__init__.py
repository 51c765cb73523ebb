"""Backend servers that control knows from their heartbeats."""

from __future__ import annotations

from medlarpass.fleet.address_claims import AddressClaims
from medlarpass.fleet.fleet_directory import FleetDirectory
from medlarpass.fleet.fleet_member import FleetMember
from medlarpass.fleet.server_heartbeat import ServerHeartbeat
from medlarpass.fleet.server_records import ServerRecords

__all__ = [
    "AddressClaims",
    "FleetDirectory",
    "FleetMember",
    "ServerHeartbeat",
    "ServerRecords",
]
