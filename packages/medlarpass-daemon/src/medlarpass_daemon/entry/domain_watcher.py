"""Follows the grants and servers of one failure domain."""

from __future__ import annotations

import asyncio

from typing import TYPE_CHECKING

import grpc

from medlarpass import MedlarpassError
from medlarpass.rpc import domain_pb2
from medlarpass.rpc import domain_pb2_grpc
from medlarpass_daemon.entry.events import DOMAIN_UNREACHABLE
from medlarpass_daemon.entry.events import SERVER_REFUSED

if TYPE_CHECKING:
    from collections.abc import Callable

    from medlarpass import Clock
    from medlarpass.ownership import OwnershipView
    from medlarpass.registry import ServerRegistry
    from medlarpass_daemon.rpc_channels import RpcChannels
    from medlarpass_daemon.settings import EntrySettings

CALL_TIMEOUT_SECONDS = 0.5
RETRY_INTERVAL_SECONDS = 0.05


class DomainWatcher:
    """Long-polls the coordinator of a domain and finds the new one after a change.

    :param domain: failure domain to follow
    :param entry: settings of the role entry
    :param view: view of the domain's grants
    :param registry: servers known to this entry
    :param on_change: called after each change of the view
    :param channels: gRPC channels
    :param clock: clock of this process
    """

    __slots__ = (
        "addresses",
        "channels",
        "clock",
        "coordinator",
        "domain",
        "entry",
        "on_change",
        "position",
        "registry",
        "view",
    )

    def __init__(
        self,
        domain: str,
        entry: EntrySettings,
        view: OwnershipView,
        registry: ServerRegistry,
        on_change: Callable[[], None],
        channels: RpcChannels,
        clock: Clock,
    ) -> None:
        self.domain = domain
        self.entry = entry
        self.view = view
        self.registry = registry
        self.on_change = on_change
        self.channels = channels
        self.clock = clock
        self.addresses = [peer.address for peer in entry.peers if peer.domain == domain]
        self.position = 0
        self.coordinator = ""

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            address = self.coordinator or self._next_address()
            try:
                await self._poll(address)
            except grpc.aio.AioRpcError as error:
                DOMAIN_UNREACHABLE.log(
                    domain=self.domain, address=address, status=error.code().name
                )
                self.coordinator = ""
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    async def _poll(self, address: str) -> None:
        stub = domain_pb2_grpc.DomainStub(self.channels.to(address))
        request = domain_pb2.WatchDomainRequest(
            domain=self.domain,
            known_version=self.view.version,
            known_ballot=self.view.ballot,
            wait_ms=round(self.entry.heartbeat_wait * 1000),
        )
        sent_at = self.clock.now()
        response = await stub.WatchDomain(request, timeout=CALL_TIMEOUT_SECONDS)
        self._record_servers(response)
        if not response.coordinator:
            await self._set_coordinator(response.coordinator_address, address)
            return
        self.coordinator = address
        self.view.apply(response, sent_at)
        if response.grants_included:
            self.on_change()

    async def _set_coordinator(self, reported_address: str, address: str) -> None:
        self.coordinator = reported_address if reported_address != address else ""
        if not self.coordinator:
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def _record_servers(self, response: domain_pb2.WatchDomainResponse) -> None:
        for server in response.servers:
            if not server.ip:
                continue
            try:
                self.registry.record_peer_report(server)
            except MedlarpassError as error:
                SERVER_REFUSED.log(server=server.identity, code=error.code, message=error.message)

    def _next_address(self) -> str:
        self.position = (self.position + 1) % len(self.addresses)
        return self.addresses[self.position]
