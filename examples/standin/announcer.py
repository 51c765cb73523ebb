"""Announces a server and maintains its session by heartbeats."""

from __future__ import annotations

import asyncio
import itertools

from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from medlarpass.rpc import control_pb2
from medlarpass.rpc import domain_pb2

if TYPE_CHECKING:
    from examples.standin.options import StandinOptions
    from examples.standin.ownership_journal import OwnershipJournal
    from medlarpass.ownership import GrantHolder

REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
RETRY_INTERVAL_SECONDS = 0.05
HTTP_OK = 200


class Announcer:
    """Sends requests to an entry and fails over to the next, as the published interface requires.

    :param options: identity and capacity that are announced
    :param incarnation: number that increases with each start
    :param holder: grants of this server
    :param journal: records the changes of grants
    """

    def __init__(
        self,
        options: StandinOptions,
        incarnation: int,
        holder: GrantHolder,
        journal: OwnershipJournal,
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.holder = holder
        self.journal = journal
        self.state = "ready"
        self.in_flight = 0
        self.entries = itertools.cycle(options.entries)
        self.entry = next(self.entries)

    async def run(self) -> None:
        """Announce and send heartbeats until cancelled."""
        async with aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session:
            while True:
                try:
                    await self._exchange(session)
                except (aiohttp.ClientError, TimeoutError):
                    self.entry = next(self.entries)
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _exchange(self, session: aiohttp.ClientSession) -> None:
        if self.holder.session_id:
            await self._heartbeat(session)
            return
        pending = self.holder.begin_heartbeat()
        status, response = await self._post(session, "announce", self._announcement())
        if status == HTTP_OK and response["session"]:
            self.holder.apply_announcement(pending, response["session"], response["term_ms"])
            return
        # Without a coordinator, heartbeats without a session keep the server registered.
        await self._heartbeat(session)
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _heartbeat(self, session: aiohttp.ClientSession) -> None:
        pending = self.holder.begin_heartbeat()
        document = self._announcement() | {
            "session": pending.session_id,
            "seen": pending.known_version,
            "in_flight": self.in_flight,
            "released": [
                {
                    "pool": assignment.pool,
                    "shard": assignment.shard,
                    "key": assignment.key or "",
                    "fence": fence.to_int(),
                }
                for assignment, fence in pending.released
            ],
        }
        status, response = await self._post(session, "heartbeat", document)
        if status == HTTP_OK:
            self.holder.apply(pending, heartbeat_response(response))
            self.journal.record_changes(self.holder)
        elif pending.session_id:
            self.holder.reset()

    async def _post(
        self, session: aiohttp.ClientSession, endpoint: str, document: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        async with session.post(f"{self.entry}/v1/servers/{endpoint}", json=document) as response:
            return response.status, await response.json()

    def _announcement(self) -> dict[str, Any]:
        options = self.options
        return {
            "identity": options.identity,
            "incarnation": self.incarnation,
            "ip": options.ip,
            "port": options.port,
            "domain": options.domain,
            "pools": options.pools,
            "slots": options.slots,
            "connections": options.connections,
            "checks_fences": True,
            "state": self.state,
        }


def heartbeat_response(response: dict[str, Any]) -> domain_pb2.HeartbeatResponse:
    """Convert the response to a heartbeat to its protobuf message.

    :param response: parsed JSON
    """
    return domain_pb2.HeartbeatResponse(
        coordinator=response["coordinator"],
        term_ms=response["term_ms"],
        version=response["version"],
        grants_included="grants" in response,
        grants=[control_pb2.GrantStatus(**item) for item in response.get("grants", [])],
        release=[domain_pb2.ReleasedGrant(**item) for item in response["release"]],
    )
