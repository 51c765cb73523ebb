"""Role control: a replica of the control log."""

from __future__ import annotations
