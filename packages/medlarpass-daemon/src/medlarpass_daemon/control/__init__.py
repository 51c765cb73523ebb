"""Role ``control``: a replica of the control log and its services."""

from __future__ import annotations
