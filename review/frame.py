"""Frame of a case: starts the deployment, runs the case, ends all processes, exits with its result.

Exit status 1: the rule was broken; 0: it held; 2: the case could not run.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback

from pathlib import Path
from typing import TYPE_CHECKING

from review.clients import Clients
from review.deployment import Deployment
from review.record import Record

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

BROKEN, HELD, FAILED_TO_RUN = 1, 0, 2
#: Below the 120 seconds that a script may take.
LIMIT_S = 110.0


class Case:
    """What a case works with."""

    def __init__(self, folder: Path, record: Record, entries: int) -> None:
        self.record = record
        self.deployment = Deployment(folder, entries)
        self.clients = Clients(self.deployment, record)
        #: Whether the disruption is played.
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"


async def _run(play: Callable[[Case], Awaitable[list[str]]], case: Case) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            violations = await play(case)
    except (Exception, asyncio.CancelledError):
        case.record.add("the case could not run", error=traceback.format_exc())
        traceback.print_exc()
        return FAILED_TO_RUN
    finally:
        await case.clients.close()
        await case.deployment.stop()
    for violation in violations:
        case.record.add("RULE BROKEN", violation=violation)
        print("rule broken:", violation)
    if not violations:
        case.record.add("rule held")
        print("rule held")
    return BROKEN if violations else HELD


def main(play: Callable[[Case], Awaitable[list[str]]], folder: Path, entries: int = 2) -> None:
    """Run a case and exit with its result."""

    async def run(temporary: str) -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder / "record.txt")
        case = Case(Path(temporary), record, entries)
        record.add("start", trouble=case.has_trouble)
        return await _run(play, case)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(run(os.environ.get("KEEP") or temporary))
    except BaseException:
        traceback.print_exc()
        status = FAILED_TO_RUN
    sys.exit(status)
