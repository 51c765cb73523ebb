"""Request classes."""

from __future__ import annotations

from enum import Enum


class RequestClass(Enum):
    """Retry and ownership semantics of the requests of a route."""

    #: Idempotent, handled by the owner of the key.
    ENQUIRY = "enquiry"
    #: Executed at most once.
    ORDER = "order"
    #: Idempotent and long-running, handled by any server of the pool.
    DOWNLOAD = "download"
    #: Executed at most once, with a body too large to be buffered in memory.
    UPLOAD = "upload"
