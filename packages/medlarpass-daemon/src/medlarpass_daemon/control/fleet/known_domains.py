"""Failure domains that the leader knows."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass_daemon.control.fleet.fleet_state import FleetState
    from medlarpass_daemon.control.replica_log import ReplicaLog

#: Time after which a new leader has heard of all failure domains: servers have sent several
#: heartbeats, and entries and relays have opened their streams.
DISCOVERY_SECONDS = 3.0


def known_domains(log: ReplicaLog, fleet: FleetState) -> set[str]:
    """Return the domains of all servers, entries and control replicas that are known or recorded.

    :param log: replicated log
    :param fleet: servers and ranges
    """
    domains = {member.heartbeat.domain for member in fleet.directory.members.values()}
    domains.update(record.domain for record in fleet.state.servers.all())
    domains.update(fleet.state.tables.evacuated_domains)
    domains.update(fleet.watchers.domains)
    domains.update(source.domain for source in fleet.feed.sources)
    domains.update(member.domain for member in log.replica.membership.members)
    domains.discard("")
    return domains


def is_discovering(log: ReplicaLog, fleet: FleetState) -> bool:
    """Return whether the leader is new and may not have heard of all domains yet."""
    if fleet.led_term != log.replica.term:
        return True
    return fleet.clock.now() - fleet.led_at < DISCOVERY_SECONDS
