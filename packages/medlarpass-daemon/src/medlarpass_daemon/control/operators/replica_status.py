"""Status of a control replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from medlarpass import Value

if TYPE_CHECKING:
    from medlarpass.rpc import control_pb2


class ReplicaStatus(Value):
    """A member of the replication group with its last status.

    :param identity: identity of the replica in the membership
    :param name: name of its VM
    :param domain: failure domain of the replica
    :param address: ``IP:PORT`` of its gRPC listener
    :param voter: whether it is a voter; otherwise it is a learner
    :param status: its last status response, None when it did not respond
    """

    __slots__ = ("address", "domain", "identity", "name", "status", "voter")

    def __init__(
        self,
        identity: str,
        name: str,
        domain: str,
        address: str,
        voter: bool,
        status: control_pb2.StatusResponse | None,
    ) -> None:
        self.identity = identity
        self.name = name
        self.domain = domain
        self.address = address
        self.voter = voter
        self.status = status
