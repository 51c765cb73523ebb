"""Router daemon with the entry and control roles."""

from __future__ import annotations
