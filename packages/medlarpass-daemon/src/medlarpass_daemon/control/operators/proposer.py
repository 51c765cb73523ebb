"""Proposes changes on behalf of the author of a request."""

from __future__ import annotations

import uuid

from typing import TYPE_CHECKING

from medlarpass import MedlarpassError
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.operators.events import AUDIT_FAILED
from medlarpass_daemon.control.operators.middleware import PRINCIPAL
from medlarpass_daemon.control.operators.middleware import REQUEST_ID
from medlarpass_daemon.control.operators.middleware import source_of
from medlarpass_daemon.control.operators.responses import change_response
from medlarpass_daemon.exceptions import ControlUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Sequence

    from aiohttp import web

    from medlarpass_daemon.control.operators.interfaces import ControlBackend


class Proposer:
    """Turns validated requests into commands of the replicated log.

    :param backend: access to the replicated log
    """

    def __init__(self, backend: ControlBackend) -> None:
        self.backend = backend

    async def apply_change(
        self, request: web.Request, change_id: str, items: Sequence[control_pb2.ItemChange]
    ) -> web.Response:
        """Propose a change of the tables and return the response."""
        command = control_pb2.Command(
            command_id=uuid.uuid4().hex,
            apply_change=control_pb2.ApplyChange(
                change_id=change_id,
                author=request[PRINCIPAL].name,
                source=source_of(request),
                items=items,
            ),
        )
        return await self._propose(request, change_id, command)

    async def set_drain(
        self, request: web.Request, change_id: str, server: str, drained: bool
    ) -> web.Response:
        """Propose to start or end the drain of a server and return the response."""
        command = control_pb2.Command(
            command_id=uuid.uuid4().hex,
            set_drain=control_pb2.SetDrain(
                change_id=change_id,
                author=request[PRINCIPAL].name,
                source=source_of(request),
                server=server,
                drained=drained,
            ),
        )
        return await self._propose(request, change_id, command)

    async def set_evacuation(
        self, request: web.Request, change_id: str, domain: str, evacuated: bool
    ) -> web.Response:
        """Propose to start or end an evacuation and return the response."""
        command = control_pb2.Command(
            command_id=uuid.uuid4().hex,
            set_evacuation=control_pb2.SetEvacuation(
                change_id=change_id,
                author=request[PRINCIPAL].name,
                source=source_of(request),
                domain=domain,
                evacuated=evacuated,
            ),
        )
        return await self._propose(request, change_id, command)

    async def run_audited(
        self, request: web.Request, change_id: str, summary: str, change: Awaitable[None]
    ) -> None:
        """Run a membership change and record its outcome in the audit trail.

        The membership is not part of the tables, so its audit record is a separate command. A
        failure to write the record is logged and does not change the outcome.

        :param summary: action recorded in the audit trail
        :param change: awaitable that changes the membership
        """
        try:
            await change
        except MedlarpassError as error:
            await self._audit(request, change_id, summary, error.code)
            raise
        await self._audit(request, change_id, summary, "accepted")

    async def _propose(
        self, request: web.Request, change_id: str, command: control_pb2.Command
    ) -> web.Response:
        result = await self.backend.propose(command)
        return change_response(change_id, result.change, request[REQUEST_ID])

    async def _audit(self, request: web.Request, change_id: str, summary: str, code: str) -> None:
        if code == ControlUnavailableError.code:
            # Writing the record would need the same missing majority.
            return
        record = control_pb2.RecordRefusal(
            change_id=change_id,
            author=request[PRINCIPAL].name,
            source=source_of(request),
            summary=summary,
            code=code,
        )
        command = control_pb2.Command(command_id=uuid.uuid4().hex, record_refusal=record)
        try:
            await self.backend.propose(command)
        except MedlarpassError as error:
            AUDIT_FAILED.log(
                author=record.author, call=summary, code=error.code, refused=code != "accepted"
            )
