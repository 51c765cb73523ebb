"""Size and load of a site."""

from __future__ import annotations

from typing import Any


class SiteSettings:
    """Size and load of a site; the defaults are those of anitfidan-gw-grown.

    :ivar control_share: share of each 0.1 s for which control processes run
    :ivar busy_processes: computing processes beside the site
    :ivar extra_routes: routes that every second change adds
    :ivar stops_controls: whether the control replicas are stopped in turn for 2.5 s
    :ivar calm_seconds: duration of the last part of the run, in which nothing is disturbed
    """

    __slots__ = (
        "busy_processes",
        "calm_seconds",
        "control_share",
        "controls",
        "entries",
        "extra_routes",
        "requests_per_second",
        "seconds",
        "server_counts",
        "stops_controls",
    )

    def __init__(self, **values: Any) -> None:
        self.controls = 4
        self.entries = 73
        self.server_counts = {"stock": 124, "orders": 52, "art": 11}
        self.requests_per_second = 70.0
        self.control_share = 1.0
        self.busy_processes = 0
        self.extra_routes = 0
        self.stops_controls = False
        self.seconds = 40.0
        self.calm_seconds = 20.0
        for name, value in values.items():
            setattr(self, name, value)
