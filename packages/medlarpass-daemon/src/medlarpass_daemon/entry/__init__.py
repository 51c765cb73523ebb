"""Role entry: serves callers and grants keys to the servers of its failure domain."""

from __future__ import annotations
