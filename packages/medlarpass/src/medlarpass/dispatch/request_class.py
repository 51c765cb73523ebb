"""Classes of requests that a route serves."""

from __future__ import annotations

from enum import Enum


class RequestClass(Enum):
    """Class of a route, as spelled in the routes table."""

    ENQUIRY = "enquiry"
    ORDER = "order"
    DOWNLOAD = "download"
