"""Examples of programs that work with medlarpass."""

from __future__ import annotations
