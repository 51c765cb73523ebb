"""Comparison of the reference documents with the code."""

from __future__ import annotations
