"""Settings of the control role."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from medlarpass import Value
from medlarpass_daemon.settings.listener import ListenerSettings
from medlarpass_daemon.settings.member import MemberSettings

DEFAULT_TOLERATED_LOSS_COUNT = 1


class ControlSettings(Value):
    """Settings of the control role; durations in seconds.

    :param document: validated section ``control``
    """

    __slots__ = (
        "data_folder",
        "election_timeout",
        "heartbeat",
        "operators",
        "replicas",
        "snapshot_records",
        "tolerated_losses",
    )

    def __init__(self, document: dict[str, Any]) -> None:
        self.operators = ListenerSettings(document["operators"])
        self.data_folder = Path(document["data_folder"])
        #: Initial replicas of a new cluster; used only by ``medlarpassd --initialise``.
        self.replicas = [MemberSettings(replica) for replica in document.get("replicas", ())]
        self.heartbeat: float = document["heartbeat"]
        #: Minimum election timeout in seconds; the maximum is twice as long.
        self.election_timeout: float = document["election_timeout"]
        self.snapshot_records: int = document["snapshot_records"]
        #: Number of replicas that may lose their disks at the same time.
        self.tolerated_losses: int = document.get("tolerated_losses", DEFAULT_TOLERATED_LOSS_COUNT)

    @property
    def min_voters(self) -> int:
        """Smallest number of voters that keeps a majority after the tolerated losses."""
        return 2 * self.tolerated_losses + 1
