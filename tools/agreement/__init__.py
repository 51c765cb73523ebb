"""Fault plans, recorded histories and their checkers, for tests of real processes."""

from __future__ import annotations
