"""Guards against processes that accept peers without a certificate of the right authority."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import grpc
import pytest
import trustme

from medlarpass.rpc import control_pb2
from medlarpass.rpc import control_pb2_grpc
from tools.bench.cluster import Cluster
from tools.bench.http_client import send_request
from tools.bench.ports import LOOPBACK
from tools.bench.process import eventually

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.bench.cluster import Node

ROOT = Path(__file__).resolve().parents[2]
POOL = {"kind": "pool", "name": "orders", "expected_version": 0, "document": {}}
ROUTE = {
    "kind": "route",
    "name": "orders",
    "expected_version": 0,
    "document": {"path": "/orders", "methods": ["POST"], "class": "order", "pool": "orders"},
}


class TlsCluster(Cluster):
    """A cluster whose processes authenticate each other by certificates."""

    def _settings(self, node: Node) -> dict[str, Any]:
        settings = super()._settings(node)
        settings["security"]["between_processes"] = {
            "mode": "mutual_tls",
            "ca": str(self.folder / "ca.pem"),
            "certificate": str(self.folder / "node.pem"),
            "key": str(self.folder / "node.key"),
        }
        return settings


def write_identity(authority: trustme.CA, folder: Path, name: str) -> None:
    certificate = authority.issue_cert(LOOPBACK)
    certificate.private_key_pem.write_to_path(folder / f"{name}.key")
    certificate.cert_chain_pems[0].write_to_path(folder / f"{name}.pem")


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TlsCluster]:
    folder = tmp_path_factory.mktemp("tls")
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "ca.pem")
    write_identity(authority, folder, "node")
    write_identity(trustme.CA(), folder, "stranger")
    cluster = TlsCluster(folder, ROOT, domains=("a",), entries=2, replicas=("a", "a", "a"))
    cluster.add_servers("order", "a", "orders", 1)
    try:
        cluster.start()
        yield cluster
    finally:
        cluster.close()


def test_processes_with_certificates_serve_a_request(cluster: TlsCluster) -> None:
    assert cluster.send_change("tls", [POOL, ROUTE]).status == 200

    def is_served() -> bool:
        response = send_request(
            "POST", cluster.entries[1].http_port, "/orders", b"x", {"Order-Id": "o"}
        )
        return response is not None and response.status == 200

    eventually("an order is served", is_served)


def call_status(cluster: TlsCluster, credentials: grpc.ChannelCredentials | None) -> None:
    address = f"{LOOPBACK}:{cluster.control[0].rpc_port}"
    if credentials is None:
        channel = grpc.insecure_channel(address)
    else:
        channel = grpc.secure_channel(address, credentials)
    with channel:
        control_pb2_grpc.ControlStub(channel).Status(control_pb2.StatusRequest(), timeout=5)


def credentials_of(folder: Path, name: str | None) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(
        (folder / "ca.pem").read_bytes(),
        (folder / f"{name}.key").read_bytes() if name else None,
        (folder / f"{name}.pem").read_bytes() if name else None,
    )


@pytest.mark.parametrize("name", [None, "stranger"])
def test_peer_without_the_right_certificate_is_refused(
    cluster: TlsCluster, name: str | None
) -> None:
    with pytest.raises(grpc.RpcError):
        call_status(cluster, credentials_of(cluster.folder, name))


def test_plain_connection_is_refused(cluster: TlsCluster) -> None:
    with pytest.raises(grpc.RpcError):
        call_status(cluster, None)


def test_peer_with_the_right_certificate_is_served(cluster: TlsCluster) -> None:
    call_status(cluster, credentials_of(cluster.folder, "node"))
