"""Router daemon with the roles entry and control."""

from __future__ import annotations
