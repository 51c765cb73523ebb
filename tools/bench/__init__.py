"""Starts real processes on loopback and injects faults."""

from __future__ import annotations
