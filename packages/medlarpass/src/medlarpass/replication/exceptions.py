"""Errors of the replicated log."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome

if TYPE_CHECKING:
    from pathlib import Path


class ReplicationError(MedlarpassError):
    """Base class of the errors of this package."""

    code = "replication_error"


class NotLeaderError(ReplicationError):
    """This replica is not the leader; the proposal was not appended.

    :param leader_address: address of the leader, ``None`` if unknown
    """

    code = "not_leader"
    http_status = 503
    outcome = Outcome.NOT_RUN

    def __init__(self, leader_address: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader_address or 'not known'}")
        self.leader_address = leader_address


class ProposalUnknownError(ReplicationError):
    """The proposal was appended, but it is not known whether it will be committed."""

    code = "proposal_unknown"
    http_status = 503


class ProposalTooLargeError(ReplicationError):
    """The payload exceeds ``payload_max_bytes``."""

    code = "proposal_too_large"
    http_status = 413
    outcome = Outcome.NOT_RUN


class MembershipError(ReplicationError):
    """The membership change is not valid."""

    code = "membership_invalid"
    http_status = 409
    outcome = Outcome.NOT_RUN


class MembershipPendingError(ReplicationError):
    """The previous membership change is not committed yet."""

    code = "membership_pending"
    http_status = 409
    outcome = Outcome.NOT_RUN


class WrongReceiverError(ReplicationError):
    """The call is addressed to another identity, for example one whose disk was lost."""

    code = "wrong_receiver"
    http_status = 409
    outcome = Outcome.NOT_RUN


class SnapshotTransferError(ReplicationError):
    """The chunks of a snapshot were incomplete, out of order or damaged."""

    code = "snapshot_transfer_failed"


class ReplicaStateError(ReplicationError):
    """The state of the replica or of its data folder does not allow the call."""

    code = "replica_state"
    http_status = 409
    outcome = Outcome.NOT_RUN


class StorageFailedError(ReplicationError):
    """A file operation failed; the store refuses all later calls and the process has to exit.

    :param operation: the operation that failed
    :param cause: error of the operating system
    """

    code = "storage_failed"

    def __init__(self, operation: str, cause: object) -> None:
        super().__init__(f"{operation} failed: {cause}")
        self.operation = operation


class DivergedLogError(ReplicationError):
    """The leader's log conflicts with a record that is committed on this replica."""

    code = "log_diverged"


class DamagedFileError(ReplicationError):
    """A file in the data folder is damaged.

    :param path: the file
    :param offset: position of the damage, in bytes
    :param reason: description of the damage
    """

    code = "data_damaged"

    def __init__(self, path: Path, offset: int, reason: str) -> None:
        super().__init__(f"{path} is damaged at offset {offset}: {reason}")
        self.path = path
        self.offset = offset


class DamagedLogError(DamagedFileError):
    """A log record before the end is damaged or missing."""

    code = "log_damaged"


class DamagedVoteError(DamagedFileError):
    """The file with identity, term and vote is damaged."""

    code = "vote_damaged"


class DamagedSnapshotError(DamagedFileError):
    """No snapshot file is valid."""

    code = "snapshot_damaged"
