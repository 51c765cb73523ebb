"""HTTP API for operators, served by a control replica."""

from __future__ import annotations

from medlarpass_daemon.control.operators.exceptions import ForbiddenError
from medlarpass_daemon.control.operators.exceptions import InvalidCallError
from medlarpass_daemon.control.operators.exceptions import ItemNotFoundError
from medlarpass_daemon.control.operators.exceptions import OperatorCallError
from medlarpass_daemon.control.operators.exceptions import TokenFileError
from medlarpass_daemon.control.operators.exceptions import UnauthenticatedError
from medlarpass_daemon.control.operators.in_force import InForce
from medlarpass_daemon.control.operators.interfaces import ControlBackend
from medlarpass_daemon.control.operators.replica_status import ReplicaStatus
from medlarpass_daemon.control.operators.server import OperatorsServer

__all__ = [
    "ControlBackend",
    "ForbiddenError",
    "InForce",
    "InvalidCallError",
    "ItemNotFoundError",
    "OperatorCallError",
    "OperatorsServer",
    "ReplicaStatus",
    "TokenFileError",
    "UnauthenticatedError",
]
