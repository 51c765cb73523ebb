"""Durable identity, term and vote of a replica."""

from __future__ import annotations

import json
import secrets

from typing import TYPE_CHECKING
from typing import TypeVar

import google_crc32c

from medlarpass.replication import events
from medlarpass.replication.exceptions import DamagedVoteError
from medlarpass.replication.exceptions import ReplicaStateError
from medlarpass.replication.exceptions import StorageFailedError
from medlarpass.replication.membership import Member
from medlarpass.replication.membership import Membership

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from medlarpass.replication.file_system import FileSystem

VOTE_FILE_NAME = "vote"
# Folders that belong to one identity and are set aside when the replica takes a new one.
IDENTITY_FOLDERS = ("log", "snapshots")

Result = TypeVar("Result")


class VoteStore:
    """Vote file, which is replaced atomically; calls block until the data are durable.

    The file also contains the initial membership, so that a bootstrap is one atomic replacement.

    :param folder: data folder of the replica
    :param replica: name of the replica from its settings
    :param file_system: file operations

    :ivar identity: identity under which the replica votes
    :ivar term: highest term seen
    :ivar vote: identity that this replica voted for in ``term``
    :ivar initial_membership: membership given at bootstrap
    """

    __slots__ = (
        "failure",
        "file_system",
        "folder",
        "identity",
        "initial_membership",
        "replica",
        "term",
        "vote",
    )

    def __init__(self, folder: Path, replica: str, file_system: FileSystem) -> None:
        self.folder = folder
        self.replica = replica
        self.file_system = file_system
        self.identity = ""
        self.term = 0
        self.vote: str | None = None
        self.initial_membership = Membership(())
        self.failure: StorageFailedError | None = None

    def open(self) -> None:
        """Read the file; create a new identity if the folder is empty or of another replica.

        Log and snapshots of another replica are renamed, not removed, because the folder may
        have been mounted by mistake.

        :raises DamagedVoteError: the file is damaged
        :raises StorageFailedError: a file operation failed
        """
        self._run_operation(self._open)

    def bootstrap(self, members: Membership) -> None:
        """Write the initial membership of a new cluster into an empty folder.

        :raises ReplicaStateError: the folder is not empty or the replica is not a voter
        :raises StorageFailedError: a file operation failed
        """
        names = self._run_operation(lambda: self.file_system.list_names(self.folder))
        if {VOTE_FILE_NAME, *IDENTITY_FOLDERS} & set(names):
            raise ReplicaStateError(f"{self.folder} is not empty")
        if self.replica not in members.voters:
            raise ReplicaStateError(f"{self.replica} is not a voter of the initial membership")
        self._run_operation(lambda: self._create(self.replica, members))
        events.CLUSTER_BOOTSTRAPPED.log(identity=self.replica, members=sorted(members.voters))

    def save(self, term: int, vote: str | None) -> None:
        """Store term and vote; the attributes change once they are durable.

        :raises StorageFailedError: a file operation failed
        """
        self._run_operation(lambda: self._write(term, vote))
        self.term = term
        self.vote = vote

    def _run_operation(self, operation: Callable[[], Result]) -> Result:
        if self.failure is not None:
            raise self.failure
        try:
            return operation()
        except OSError as error:
            self.failure = StorageFailedError("write vote", error)
            raise self.failure from error

    def _open(self) -> None:
        self.file_system.make_directory(self.folder)
        names = self.file_system.list_names(self.folder)
        if VOTE_FILE_NAME in names and self._read() == self.replica:
            # The process may have exited before the rename was durable.
            self.file_system.fsync_directory(self.folder)
            return
        self._quarantine_folders(names)
        self._create(f"{self.replica}-{secrets.token_hex(4)}", Membership(()))
        events.IDENTITY_CREATED.log(identity=self.identity)

    def _quarantine_folders(self, names: list[str]) -> None:
        for name in IDENTITY_FOLDERS:
            if name in names:
                target = f"{name}.foreign-{secrets.token_hex(4)}"
                self.file_system.rename(self.folder / name, self.folder / target)
        self.file_system.fsync_directory(self.folder)

    def _create(self, identity: str, initial_membership: Membership) -> None:
        self.file_system.make_directory(self.folder)
        self.identity = identity
        self.initial_membership = initial_membership
        self._write(0, None)
        self.term = 0
        self.vote = None

    def _write(self, term: int, vote: str | None) -> None:
        body = json.dumps(
            {
                "replica": self.replica,
                "identity": self.identity,
                "term": term,
                "vote": vote,
                "initial": [
                    [member.replica, member.address, member.domain, member.voter]
                    for member in self.initial_membership.members
                ],
            },
        ).encode()
        self.file_system.replace(
            self.folder / VOTE_FILE_NAME, b"%08x\n" % google_crc32c.value(body) + body
        )

    def _read(self) -> str:
        path = self.folder / VOTE_FILE_NAME
        data = self.file_system.read(path)
        checksum, _, body = data.partition(b"\n")
        if checksum != b"%08x" % google_crc32c.value(body):
            raise DamagedVoteError(path, 0, "the checksum does not match")
        content = json.loads(body)
        self.identity = content["identity"]
        self.term = content["term"]
        self.vote = content["vote"]
        self.initial_membership = Membership(
            tuple(Member(*fields) for fields in content["initial"])
        )
        return str(content["replica"])
