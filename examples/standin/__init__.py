"""A small backend server that speaks the published interface and nothing else."""

from __future__ import annotations
