"""HTTP interface through which backend servers announce themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass.registry.exceptions import InvalidAnnouncementError
from medlarpass_daemon.entry.exceptions import CoordinatorRefusedError
from medlarpass_daemon.entry.server_schema import parse_announcement
from medlarpass_daemon.entry.server_schema import parse_heartbeat
from medlarpass_daemon.http_listener import HttpListener
from medlarpass_daemon.settings.limits import SERVERS

if TYPE_CHECKING:
    from medlarpass.rpc import control_pb2
    from medlarpass.rpc import domain_pb2
    from medlarpass_daemon.entry.server_gateway import ServerGateway
    from medlarpass_daemon.request_bounds import ProcessBounds
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import EntrySettings

#: Maximum size of an announcement or heartbeat.
MAX_BODY_BYTES = 4 << 20


class ServerApi:
    """Serves announcements and heartbeats on the listener for servers.

    :param settings: settings of the process
    :param entry: settings of the role entry
    :param gateway: forwards them to the registry and the coordinator
    :param bounds: bounds of the process
    """

    __slots__ = ("entry", "gateway", "listener", "settings")

    def __init__(
        self,
        settings: DaemonSettings,
        entry: EntrySettings,
        gateway: ServerGateway,
        bounds: ProcessBounds | None = None,
    ) -> None:
        # Validated settings lack a listener for servers only if they have the section fleet.
        assert entry.servers is not None
        self.settings = settings
        self.entry = entry
        self.gateway = gateway
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_post("/v1/servers/announce", self._announce)
        application.router.add_post("/v1/servers/heartbeat", self._heartbeat)
        self.listener = HttpListener(application, entry.servers, SERVERS, bounds)

    async def start(self) -> None:
        """Listen and serve."""
        await self.listener.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self.listener.stop()

    async def _announce(self, request: web.Request) -> web.Response:
        try:
            server = parse_announcement(await _body(request))
            response = await self.gateway.announce(server)
        except MedlarpassError as error:
            return _failure(error)
        return web.json_response(
            {
                "session": response.session,
                "term_ms": response.term_ms,
                "wait_ms": round(self.entry.heartbeat_wait * 1000),
                "entries": self._entries(),
            }
        )

    async def _heartbeat(self, request: web.Request) -> web.Response:
        try:
            heartbeat = parse_heartbeat(await _body(request))
            response = await self.gateway.heartbeat(heartbeat)
        except MedlarpassError as error:
            return _failure(error)
        return web.json_response(_heartbeat_document(response))

    def _entries(self) -> list[str]:
        return [peer.name for peer in self.entry.peers if peer.domain == self.settings.domain]


async def _body(request: web.Request) -> Any:
    try:
        return await request.json()
    except (ValueError, RecursionError) as error:
        raise InvalidAnnouncementError(f"body: expected JSON ({error})") from error


def _failure(error: MedlarpassError) -> web.Response:
    code = error.reason if isinstance(error, CoordinatorRefusedError) else error.code
    return web.json_response({"code": code, "message": error.message}, status=error.http_status)


def _heartbeat_document(response: domain_pb2.HeartbeatResponse) -> dict[str, Any]:
    document: dict[str, Any] = {
        "coordinator": response.coordinator,
        "term_ms": response.term_ms,
        "version": response.version,
        "release": [_released(item) for item in response.release],
    }
    if response.grants_included:
        document["grants"] = [_grant(item) for item in response.grants]
    return document


def _grant(item: control_pb2.GrantStatus) -> dict[str, Any]:
    return {"pool": item.pool, "shard": item.shard, "key": item.key, "fence": item.fence}


def _released(item: domain_pb2.ReleasedGrant) -> dict[str, Any]:
    return {"pool": item.pool, "shard": item.shard, "key": item.key, "fence": item.fence}
