"""Replicated state of the control replicas."""

from __future__ import annotations

from medlarpass.control.control_state import ControlState
from medlarpass.control.exceptions import CommandRejectedError

__all__ = [
    "CommandRejectedError",
    "ControlState",
]
