"""Fake control backend with a real ControlState, for the tests of the daemon and of the CLI."""

from __future__ import annotations

import hashlib
import json

from collections.abc import Callable
from collections.abc import Sequence
from types import SimpleNamespace
from typing import TYPE_CHECKING
from typing import Any

from medlarpass import MedlarpassError
from medlarpass.control import ControlState
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.operators import InForce
from medlarpass_daemon.control.operators import ReplicaStatus
from medlarpass_daemon.exceptions import ControlUnavailableError
from medlarpass_daemon.exceptions import UnknownResultError
from medlarpass_daemon.settings import DaemonSettings

if TYPE_CHECKING:
    from pathlib import Path

STOCK_POOL = {"owned": True, "shards": 16}
STOCK_ROUTE = {
    "path": "/stock/{roll}",
    "methods": ["GET"],
    "class": "enquiry",
    "key": {"from": "path", "name": "roll"},
    "pool": "stock",
}
CHANGE_TOKEN = "change-token"
READ_TOKEN = "read-token"


class FakeBackend:
    """Applies commands immediately; ``failures`` are raised instead of the next results."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.index = 0
        #: Raised by the next proposals; UnknownResultError is raised after the command is applied.
        self.failures: list[MedlarpassError] = []
        self.read_failure: MedlarpassError | None = None
        self.commands: list[control_pb2.Command] = []
        self.in_force_reports = [InForce("entry-1", "north", 1, 40)]
        self.reports = [
            control_pb2.DomainReport(
                domain="north",
                coordinator="entry-1",
                ballot=3,
                loads=[control_pb2.PoolLoad(pool="stock", ready_servers=1, ready_slots=3)],
                servers=[
                    control_pb2.ServerStatus(
                        identity="stock-1", incarnation=2, domain="north", ip="127.0.0.1", port=9
                    )
                ],
                grants=[
                    control_pb2.GrantStatus(
                        pool="stock", shard=3, server="stock-1", incarnation=2, fence=1 << 60
                    ),
                    control_pb2.GrantStatus(pool="tags", shard=0, server="tag-1", fence=7),
                ],
            )
        ]
        status = control_pb2.StatusResponse(replica="r1", role="leader", term=4, leader="r1")
        self.members = [
            ReplicaStatus("r1", "control-1", "north", "127.0.0.1:7000", True, status),
            ReplicaStatus("r2", "control-2", "south", "127.0.0.1:7001", True, None),
        ]

    async def propose(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None and not isinstance(failure, UnknownResultError):
            raise failure
        self.index += 1
        command.time_ms = self.index
        self.commands.append(command)
        result = self.state.apply(self.index, command.SerializeToString())
        if failure is not None:
            raise failure
        return control_pb2.CommandResult.FromString(result)

    async def read_state(self, stale: bool = False) -> ControlState:
        if self.read_failure is not None and not stale:
            raise self.read_failure
        return self.state

    def in_force(self) -> Sequence[InForce]:
        return self.in_force_reports

    async def domain_reports(self) -> Sequence[control_pb2.DomainReport]:
        if self.read_failure is not None:
            raise self.read_failure
        return self.reports

    def replicas(self) -> Sequence[ReplicaStatus]:
        return self.members

    async def add_replica(self, name: str, domain: str, address: str) -> None:
        if self.failures:
            raise self.failures.pop(0)
        if not any(member.name == name for member in self.members):
            self.members.append(ReplicaStatus("r9", name, domain, address, False, None))

    async def remove_replica(self, identity: str) -> None:
        if self.failures:
            raise self.failures.pop(0)
        self.members = [member for member in self.members if member.identity != identity]

    async def replace_replica(self, identity: str, name: str, domain: str, address: str) -> None:
        await self.add_replica(name, domain, address)
        await self.remove_replica(identity)

    def state_snapshot(self) -> bytes:
        """Return a snapshot of the whole state for a later comparison."""
        return self.state.snapshot()


def daemon_settings(
    folder: Path,
    tokens: Path | None = None,
    tls: dict[str, str] | None = None,
    discovers_servers: bool = True,
) -> DaemonSettings:
    """Return settings of a control process; the system chooses the port of the operators' API."""
    operators = (
        {"mode": "token_file", "file": str(tokens), **(tls or {})}
        if tokens
        else {"mode": "unauthenticated"}
    )
    settings = DaemonSettings(
        {
            "name": "control-1",
            "domain": "north",
            "roles": ["control"],
            "rpc": {"ip": "127.0.0.1", "port": 0},
            "platform": {"ip": "127.0.0.1", "port": 0},
            "security": {
                "between_processes": {"mode": "unauthenticated"},
                "operators": operators,
            },
            "control": {
                "operators": {"ip": "127.0.0.1", "port": 0},
                "data_folder": str(folder),
                "replicas": [],
                "heartbeat": 0.1,
                "election_timeout": 0.5,
                "snapshot_records": 10_000,
            },
            "stop": {"balancer_wait": 0.0, "finish_within": 5.0},
            "log": {"file": "-"},
        }
    )
    if discovers_servers:
        fleet: Any = SimpleNamespace()
        settings.fleet = fleet
    return settings


def write_tokens(path: Path, *tokens: tuple[str, str, str]) -> Path:
    """Write a token file with entries (name, role, token)."""
    entries = [
        {"name": name, "role": role, "sha256": hashlib.sha256(token.encode()).hexdigest()}
        for name, role, token in tokens
    ]
    path.write_text(json.dumps({"tokens": entries}))
    return path


def unavailable_error() -> MedlarpassError:
    return ControlUnavailableError("no majority")


def unknown_result_error() -> MedlarpassError:
    return UnknownResultError("the leader was lost")


Failure = Callable[[], MedlarpassError]
