"""Coordination of backend servers with exclusive ownership of keys."""

from __future__ import annotations

from medlarpass.base import Value
from medlarpass.clock import BootClock
from medlarpass.clock import Clock
from medlarpass.clock import ManualClock
from medlarpass.events import Event
from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome

__all__ = [
    "BootClock",
    "Clock",
    "Event",
    "ManualClock",
    "MedlarpassError",
    "Outcome",
    "Value",
]
