"""Settings of a replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass.base import Value

if TYPE_CHECKING:
    from pathlib import Path


class ReplicationSettings(Value):
    """Settings of a replica; times in seconds.

    :param replica: name of the replica, also its identity if its data folder was bootstrapped
    :param address: address for calls from other replicas
    :param domain: failure domain
    :param data_folder: folder of the log, the snapshots and the vote file
    :param heartbeat: time between calls to an idle follower
    :param election_timeout_min: minimum time without a call from the leader before an election
    :param election_timeout_max: maximum time without a call from the leader before an election
    :param call_timeout: timeout of a call to another replica, except for snapshots
    :param snapshot_timeout: timeout of a snapshot transfer
    :param transfer_timeout: timeout of a leadership transfer
    :param drift_margin: maximum relative difference in clock rate between two VMs
    :param snapshot_threshold: number of applied records between two snapshots
    :param snapshot_trailing: number of records before a snapshot kept for slow followers
    :param snapshot_chunk_bytes: data size of one snapshot chunk
    :param append_max_records: maximum number of records in one call
    :param append_max_bytes: maximum payload size of one call, unless a single record is larger
    :param payload_max_bytes: maximum payload size of a proposal
    :param segment_bytes: size at which a new log segment is started
    """

    __slots__ = (
        "address",
        "append_max_bytes",
        "append_max_records",
        "call_timeout",
        "data_folder",
        "domain",
        "drift_margin",
        "election_timeout_max",
        "election_timeout_min",
        "heartbeat",
        "payload_max_bytes",
        "replica",
        "segment_bytes",
        "snapshot_chunk_bytes",
        "snapshot_threshold",
        "snapshot_timeout",
        "snapshot_trailing",
        "transfer_timeout",
    )

    def __init__(
        self,
        replica: str,
        address: str,
        domain: str,
        data_folder: Path,
        *,
        heartbeat: float = 0.1,
        election_timeout_min: float = 0.5,
        election_timeout_max: float = 1.0,
        call_timeout: float = 1.0,
        snapshot_timeout: float = 60.0,
        transfer_timeout: float = 2.0,
        drift_margin: float = 0.01,
        snapshot_threshold: int = 4096,
        snapshot_trailing: int = 1024,
        snapshot_chunk_bytes: int = 256 * 1024,
        append_max_records: int = 256,
        append_max_bytes: int = 1024 * 1024,
        payload_max_bytes: int = 1024 * 1024,
        segment_bytes: int = 4 * 1024 * 1024,
    ) -> None:
        self.replica = replica
        self.address = address
        self.domain = domain
        self.data_folder = data_folder
        self.heartbeat = heartbeat
        self.election_timeout_min = election_timeout_min
        self.election_timeout_max = election_timeout_max
        self.call_timeout = call_timeout
        self.snapshot_timeout = snapshot_timeout
        self.transfer_timeout = transfer_timeout
        self.drift_margin = drift_margin
        self.snapshot_threshold = snapshot_threshold
        self.snapshot_trailing = snapshot_trailing
        self.snapshot_chunk_bytes = snapshot_chunk_bytes
        self.append_max_records = append_max_records
        self.append_max_bytes = append_max_bytes
        self.payload_max_bytes = payload_max_bytes
        self.segment_bytes = segment_bytes
