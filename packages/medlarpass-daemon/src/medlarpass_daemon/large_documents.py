"""Keeps work on large documents out of the event loop."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING
from typing import ParamSpec
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Parameters = ParamSpec("Parameters")
Result = TypeVar("Result")

#: Size from which a document is handled in a thread. It takes about a microsecond per byte to check
#: one, and a leader that sends nothing for half a second loses its followers.
LARGE_DOCUMENT_BYTES = 64 * 1024


async def handle_document(
    size: int,
    function: Callable[Parameters, Result],
    *arguments: Parameters.args,
    **options: Parameters.kwargs,
) -> Result:
    """Call a function on a document, in a thread if the document is large.

    :param size: size of the document in bytes
    :param function: function without side effects
    """
    if size < LARGE_DOCUMENT_BYTES:
        return function(*arguments, **options)
    return await asyncio.to_thread(function, *arguments, **options)
