"""Plays a small site with enough processor time; larger ones are played by hand."""

from __future__ import annotations

import asyncio
import sys
import time

from pathlib import Path

import pytest

from tools.bench.process import eventually
from tools.soak.change import Change
from tools.soak.deployed_site import DeployedSite
from tools.soak.fleet_system import ROOT
from tools.soak.site_settings import SiteSettings


async def test_a_small_site_keeps_the_rules_while_control_is_stopped_in_turn(
    tmp_path: Path,
) -> None:
    """Guards against late confirmations in calm, and against a play that checks nothing."""
    site = SiteSettings(
        controls=3,
        entries=3,
        server_counts={"stock": 6, "orders": 6, "art": 6},
        requests_per_second=30.0,
        control_share=0.9,
        extra_routes=50,
        stops_controls=True,
        seconds=7.0,
        calm_seconds=9.0,
    )
    system = DeployedSite(tmp_path, site, seed=1)
    try:
        await system.start_site()
        assert await system.run() == []
    finally:
        await system.stop()
    assert any(change.calm_seconds and change.confirmed_at for change in system.changes)
    assert len(system.disturbed_at) == 2
    assert system.left_at
    assert system.statuses[200]


def test_a_change_that_a_disturbance_began_counts_in_calm(tmp_path: Path) -> None:
    """Guards against a play that passes over a change which stays unconfirmed after the faults."""
    system = DeployedSite(tmp_path, SiteSettings(controls=3, entries=1), seed=1)
    system.began_at = time.monotonic() - 60.0
    stuck = Change(2)
    stuck.began_at = system.began_at + 10.0
    system.changes.append(stuck)
    system.disturbed_at.append(system.began_at + 12.0)
    (late,) = system._late_changes()
    assert "was not confirmed" in late
    stuck.confirmed_at = system.began_at + 18.0
    assert system._late_changes() == []
    assert stuck.calm_seconds == pytest.approx(2.0)


async def test_a_process_gets_a_share_of_its_time() -> None:
    """Guards against plays in which control has all the processor time."""
    computing = await asyncio.create_subprocess_exec(sys.executable, "-c", "while True: pass")
    share = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "tools/soak/processor_share.py"),
        "0.0",
        str(computing.pid),
        stdin=asyncio.subprocess.PIPE,
    )
    assert share.stdin is not None
    eventually("the process is stopped", lambda: state_of(computing.pid) == "T")
    share.stdin.close()
    assert await share.wait() == 0
    eventually("the process runs on", lambda: state_of(computing.pid) != "T")
    computing.kill()
    await computing.wait()


def state_of(pid: int) -> str:
    """Return the state of a process: ``T`` while it is stopped."""
    status = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    return status.rpartition(")")[2].split()[0]
