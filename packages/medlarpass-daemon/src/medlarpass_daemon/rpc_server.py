"""gRPC server of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

from medlarpass_daemon.exceptions import ListenError
from medlarpass_daemon.rpc_channels import MAX_MESSAGE_BYTES
from medlarpass_daemon.rpc_channels import PING_TIMEOUT_MS

if TYPE_CHECKING:
    from medlarpass_daemon.settings import DaemonSettings
    from medlarpass_daemon.settings import TlsSettings

#: SO_REUSEPORT is disabled because a second process on the same port would silently receive part of
#: the calls.
SERVER_OPTIONS: list[tuple[str, int]] = [
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.keepalive_time_ms", 5_000),
    ("grpc.keepalive_timeout_ms", 2_000),
    ("grpc.http2.ping_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
]


class RpcServer:
    """gRPC server of a process; the roles add their services to it.

    :param settings: settings of the process
    """

    __slots__ = ("server", "settings")

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.server = grpc.aio.server(options=SERVER_OPTIONS)

    async def start(self) -> None:
        """Start listening.

        :raises ListenError: when the address is not available
        """
        endpoint = self.settings.rpc.endpoint()
        tls = self.settings.security.tls
        try:
            if tls is None:
                self.server.add_insecure_port(endpoint)
            else:
                self.server.add_secure_port(endpoint, server_credentials(tls))
        except RuntimeError as error:
            raise ListenError(f"can't listen on {endpoint}: {error}") from error
        await self.server.start()

    async def stop(self, grace: float) -> None:
        """Stop the server; calls in flight have ``grace`` seconds to finish."""
        await self.server.stop(grace)


def server_credentials(tls: TlsSettings) -> grpc.ServerCredentials:
    """Load the server credentials from the certificate files; clients must have a certificate."""
    return grpc.ssl_server_credentials(
        [(tls.key.read_bytes(), tls.certificate.read_bytes())],
        root_certificates=tls.ca.read_bytes(),
        require_client_auth=True,
    )
