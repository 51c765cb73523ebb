"""Exclusive ownership of keys: delegations, leases, sessions and grants."""

from __future__ import annotations

from medlarpass.ownership.coordinator import Coordinator
from medlarpass.ownership.delegation_planner import DelegationPlanner
from medlarpass.ownership.delegation_renewals import DelegationRenewals
from medlarpass.ownership.delegation_table import Delegation
from medlarpass.ownership.delegation_table import DelegationTable
from medlarpass.ownership.drift import DRIFT_MARGIN_RATIO
from medlarpass.ownership.drift import grantor_term
from medlarpass.ownership.drift import holder_term
from medlarpass.ownership.fence import Fence
from medlarpass.ownership.grant import Grant
from medlarpass.ownership.grant_holder import GrantHolder
from medlarpass.ownership.grant_holder import PendingHeartbeat
from medlarpass.ownership.grant_holder import Refusal
from medlarpass.ownership.grant_store import GrantStore
from medlarpass.ownership.grant_table import GrantTable
from medlarpass.ownership.lease_acceptor import LeaseAcceptor
from medlarpass.ownership.lease_proposer import AcceptorClient
from medlarpass.ownership.lease_proposer import LeaseProposer
from medlarpass.ownership.ownership_view import Owner
from medlarpass.ownership.ownership_view import OwnershipView
from medlarpass.ownership.placement import Candidate
from medlarpass.ownership.placement import Placement
from medlarpass.ownership.placement import PlacementSettings
from medlarpass.ownership.session_table import Session
from medlarpass.ownership.session_table import SessionTable
from medlarpass.ownership.shard import Assignment
from medlarpass.ownership.shard import shard_of

__all__ = [
    "AcceptorClient",
    "Assignment",
    "Candidate",
    "Coordinator",
    "DRIFT_MARGIN_RATIO",
    "Delegation",
    "DelegationRenewals",
    "DelegationPlanner",
    "DelegationTable",
    "Fence",
    "Grant",
    "GrantHolder",
    "GrantStore",
    "GrantTable",
    "LeaseAcceptor",
    "LeaseProposer",
    "Owner",
    "OwnershipView",
    "Placement",
    "PlacementSettings",
    "Refusal",
    "Session",
    "SessionTable",
    "PendingHeartbeat",
    "grantor_term",
    "holder_term",
    "shard_of",
]
