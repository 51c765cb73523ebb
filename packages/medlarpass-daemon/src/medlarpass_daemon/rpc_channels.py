"""gRPC channels to other processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import grpc

if TYPE_CHECKING:
    from collections.abc import Mapping

    from medlarpass_daemon.settings import TlsSettings

#: Fits a whole configuration or a snapshot chunk.
MAX_MESSAGE_BYTES = 64 << 20

#: Time after which a connection whose ping gets no response is closed. By default it is a minute,
#: in which a connection that has gone silent without a reset stays in use. It is the time that a
#: stream has for its next message, since on a saturated link the response waits behind other data.
PING_TIMEOUT_MS = 3_000
#: Retries are disabled because the callers decide which calls may be repeated. The keepalive sends
#: a ping after a second without data; the default takes 2 h.
CHANNEL_OPTIONS: list[tuple[str, int]] = [
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 1_000),
    ("grpc.keepalive_timeout_ms", 1_000),
    ("grpc.http2.ping_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 50),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
]


class RpcChannels:
    """One channel for each address, opened on first use.

    :param tls: certificate files, or None for unauthenticated connections
    :param translation: addresses mapped to the addresses used to connect to them
    """

    __slots__ = ("channels", "tls", "translation")

    def __init__(
        self, tls: TlsSettings | None, translation: Mapping[str, str] | None = None
    ) -> None:
        self.tls = tls
        self.translation = translation or {}
        self.channels: dict[str, grpc.aio.Channel] = {}

    def to(self, address: str) -> grpc.aio.Channel:
        """Return the channel to an address.

        :param address: ``IP:PORT``
        """
        channel = self.channels.get(address)
        if channel is None:
            channel = self._open(self.translation.get(address, address))
            self.channels[address] = channel
        return channel

    async def close(self) -> None:
        """Close all channels."""
        for channel in self.channels.values():
            await channel.close(grace=None)
        self.channels.clear()

    def _open(self, address: str) -> grpc.aio.Channel:
        if self.tls is None:
            return grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        credentials = channel_credentials(self.tls)
        return grpc.aio.secure_channel(address, credentials, options=CHANNEL_OPTIONS)


def channel_credentials(tls: TlsSettings) -> grpc.ChannelCredentials:
    """Load the client credentials from the certificate files."""
    return grpc.ssl_channel_credentials(
        root_certificates=tls.ca.read_bytes(),
        private_key=tls.key.read_bytes(),
        certificate_chain=tls.certificate.read_bytes(),
    )
