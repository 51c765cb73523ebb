"""Generated protobuf messages and gRPC services; run ``scripts/generate`` after a change."""

from __future__ import annotations
