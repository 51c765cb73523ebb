"""Documents of publications for tests."""

from __future__ import annotations

from typing import Any


def document(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a valid document of a publication.

    :param changes: values of the route that differ from the default
    """
    route = {
        "name": "stock",
        "host": "stock.example",
        "prefix": "/rolls/",
        "class": "enquiry",
        "timeout": 1.5,
        "target": 0.6,
        "priority": 2,
        "attempts": 2,
        "shares": [{"pool": "stock", "weight": 1}],
    }
    return {
        "version": version,
        "key_header": "Key",
        "routes": [{**route, **changes}],
        "pools": [
            {"name": "stock", "owned": True, "connections": 110},
            {"name": "orders", "owned": False, "connections": 110},
        ],
        "limits": {"body_bytes": 1000, "idle_seconds": 15},
    }
