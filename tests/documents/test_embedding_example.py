"""Tests that the embedding example of the library works."""

from __future__ import annotations

import os
import subprocess
import sys

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_embedding_example_grants_and_refuses() -> None:
    environment = os.environ | {"PYTHONPATH": str(ROOT / "packages/medlarpass/src")}
    result = subprocess.run(
        [sys.executable, str(ROOT / "docs/examples/embedding.py")],
        env=environment,
        capture_output=True,
        text=True,
        check=True,
        timeout=60,
    )
    lines = dict(line.split(": ") for line in result.stdout.splitlines() if ": " in line)
    assert lines["coordinator lease"] == "True"
    assert lines["request with the grant's fence"] == "None"
    assert lines["request with an older fence"] == "Refusal.STALE_FENCE"
    assert lines["request after the session"] != "None"
