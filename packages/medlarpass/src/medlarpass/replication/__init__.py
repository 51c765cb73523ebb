"""Replicated log that implements Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014)."""

from __future__ import annotations

from medlarpass.replication.exceptions import DamagedFileError
from medlarpass.replication.exceptions import DamagedLogError
from medlarpass.replication.exceptions import DamagedSnapshotError
from medlarpass.replication.exceptions import DamagedVoteError
from medlarpass.replication.exceptions import DivergedLogError
from medlarpass.replication.exceptions import MembershipError
from medlarpass.replication.exceptions import MembershipPendingError
from medlarpass.replication.exceptions import NotLeaderError
from medlarpass.replication.exceptions import ProposalTooLargeError
from medlarpass.replication.exceptions import ProposalUnknownError
from medlarpass.replication.exceptions import ReplicaStateError
from medlarpass.replication.exceptions import ReplicationError
from medlarpass.replication.exceptions import SnapshotTransferError
from medlarpass.replication.exceptions import StorageFailedError
from medlarpass.replication.exceptions import WrongReceiverError
from medlarpass.replication.file_system import FileSystem
from medlarpass.replication.log_store import LogStore
from medlarpass.replication.membership import Member
from medlarpass.replication.membership import Membership
from medlarpass.replication.protocols import StateMachine
from medlarpass.replication.protocols import Transport
from medlarpass.replication.record import Record
from medlarpass.replication.replica import Replica
from medlarpass.replication.settings import ReplicationSettings
from medlarpass.replication.snapshot_store import Snapshot
from medlarpass.replication.snapshot_store import SnapshotStore
from medlarpass.replication.vote_store import VoteStore

__all__ = [
    "DamagedFileError",
    "DamagedLogError",
    "DamagedSnapshotError",
    "DamagedVoteError",
    "DivergedLogError",
    "FileSystem",
    "LogStore",
    "Member",
    "Membership",
    "MembershipError",
    "MembershipPendingError",
    "NotLeaderError",
    "ProposalTooLargeError",
    "ProposalUnknownError",
    "Record",
    "Replica",
    "ReplicaStateError",
    "ReplicationError",
    "ReplicationSettings",
    "Snapshot",
    "SnapshotStore",
    "SnapshotTransferError",
    "StateMachine",
    "StorageFailedError",
    "Transport",
    "VoteStore",
    "WrongReceiverError",
]
