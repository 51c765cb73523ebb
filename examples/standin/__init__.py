"""A small backend server that uses only the published interface."""

from __future__ import annotations
