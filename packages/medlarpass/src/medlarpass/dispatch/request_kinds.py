"""One class per request class, for ``functools.singledispatch``."""

from __future__ import annotations

from typing import ClassVar

from medlarpass.base import Value
from medlarpass.tables import RequestClass


class RequestKind(Value):
    """Request state that the retry rules of its class depend on."""

    __slots__ = ()
    request_class: ClassVar[RequestClass]


class Enquiry(RequestKind):
    """An idempotent request for a key that a server owns."""

    __slots__ = ()
    request_class = RequestClass.ENQUIRY


class Order(RequestKind):
    """A request that must be executed at most once."""

    __slots__ = ()
    request_class = RequestClass.ORDER


class Upload(Order):
    """An order with a large body."""

    __slots__ = ()
    request_class = RequestClass.UPLOAD


class Download(RequestKind):
    """An idempotent request with a long streamed response.

    :param response_started: whether a byte of the response was sent to the caller
    """

    __slots__ = ("response_started",)
    request_class = RequestClass.DOWNLOAD

    def __init__(self, response_started: bool = False) -> None:
        self.response_started = response_started


KINDS: dict[RequestClass, type[RequestKind]] = {
    RequestClass.ENQUIRY: Enquiry,
    RequestClass.ORDER: Order,
    RequestClass.DOWNLOAD: Download,
    RequestClass.UPLOAD: Upload,
}


def kind_of(request_class: RequestClass) -> RequestKind:
    """Return the initial state of a request of a class."""
    return KINDS[request_class]()
