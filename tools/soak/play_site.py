"""Plays a site of real processes whose control replicas are short of processor time.

Prints how long changes took in calm, the events of control, and broken rules; ends with status 1 if
a rule was broken. A play takes about two minutes and some 90 processes.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile

from pathlib import Path

from tools.soak.deployed_site import DeployedSite
from tools.soak.site_settings import SiteSettings

PRINTED_EVENTS = (
    "election_started",
    "leader_elected",
    "quorum_lost",
    "loop_late",
    "append_slow",
    "log_write_slow",
    "fleet_watch_opened",
    "relay_lost",
    "relayed_report_lost",
    "range_lost",
    "range_refence_failed",
    "range_moving",
    "confirmed_before_followed",
)


async def play(arguments: argparse.Namespace, folder: Path) -> bool:
    """Play once, print the result and return whether all rules were kept."""
    site = SiteSettings(
        control_share=arguments.share,
        busy_processes=arguments.busy,
        extra_routes=arguments.routes,
        stops_controls=arguments.stops,
        seconds=arguments.seconds,
        entries=arguments.entries,
    )
    if arguments.servers != 1.0:
        site.server_counts = {
            pool: round(count * arguments.servers) for pool, count in site.server_counts.items()
        }
    system = DeployedSite(folder, site, arguments.seed)
    try:
        await system.start_site()
        used_before = system.processor_seconds()
        broken = await system.run()
        used = system.processor_seconds()
    finally:
        await system.stop()
    seconds = site.seconds + site.calm_seconds
    counts = system.event_counts()
    print(f"folder {folder}")
    print(f"longest change in calm {system.longest_calm_change():.1f} s")
    print("changes", [round(c.seconds(c.confirmed_at or c.began_at), 1) for c in system.changes])
    shares = {name: round((used[name] - used_before[name]) / seconds, 2) for name in used}
    print("processor share", shares)
    print("events", {name: counts[name] for name in PRINTED_EVENTS if counts[name]})
    print("statuses", dict(system.statuses))
    print("\n".join(broken) or "no rule broken")
    return not broken


def main() -> int:
    """Run the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--share", type=float, default=1.0, help="processor share of control")
    parser.add_argument("--busy", type=int, default=0, help="computing processes beside the site")
    parser.add_argument("--routes", type=int, default=0, help="routes that changes add")
    parser.add_argument("--stops", action="store_true", help="stop control replicas in turn")
    parser.add_argument("--seconds", type=float, default=40.0, help="before the calm part")
    parser.add_argument("--servers", type=float, default=1.0, help="factor for the servers")
    parser.add_argument("--entries", type=int, default=73)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="site-"))
    return 0 if asyncio.run(play(arguments, folder)) else 1


if __name__ == "__main__":
    sys.exit(main())
