from __future__ import annotations

import importlib.util
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import aiohttp
import pytest

from medlarpass_daemon.control.operators import OperatorsServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from types import ModuleType


def _load_fakes() -> ModuleType:
    # pytest's import mode importlib does not add test folders to sys.path.
    if "operators_fakes" not in sys.modules:
        path = Path(__file__).parent / "operators_fakes.py"
        spec = importlib.util.spec_from_file_location("operators_fakes", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules["operators_fakes"] = module
        spec.loader.exec_module(module)
    return sys.modules["operators_fakes"]


fakes = _load_fakes()


class ApiResponse:
    def __init__(self, status: int, body: Any, headers: Any) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class OperatorClient:
    """Sends requests to the operators' API."""

    def __init__(self, session: aiohttp.ClientSession, port: int, token: str | None) -> None:
        self.session = session
        self.base_url = f"http://127.0.0.1:{port}"
        self.token = token

    async def __call__(
        self,
        method: str,
        path: str,
        body: Any = None,
        change_id: str | None = None,
        raw: bytes | None = None,
        token: str | None = None,
    ) -> ApiResponse:
        headers = {}
        if change_id is not None:
            headers["Idempotency-Key"] = change_id
        if token or self.token:
            headers["Authorization"] = f"Bearer {token or self.token}"
        body_arguments = (
            {"data": raw} if raw is not None else {"json": body} if body is not None else {}
        )
        async with self.session.request(
            method, self.base_url + path, headers=headers, **body_arguments
        ) as response:
            return ApiResponse(response.status, await response.json(), response.headers)


@pytest.fixture
def backend() -> Any:
    return fakes.FakeBackend()


@pytest.fixture
def token_path(tmp_path: Path) -> Path:
    return fakes.write_tokens(
        tmp_path / "tokens.yaml",
        ("amina", "change", fakes.CHANGE_TOKEN),
        ("bulan", "read", fakes.READ_TOKEN),
    )


@pytest.fixture
async def call(backend: Any, tmp_path: Path, token_path: Path) -> AsyncIterator[OperatorClient]:
    server = OperatorsServer(fakes.daemon_settings(tmp_path, token_path), backend)
    await server.start()
    async with aiohttp.ClientSession() as session:
        yield OperatorClient(session, server.port, fakes.CHANGE_TOKEN)
    await server.stop()


@pytest.fixture
async def unauthenticated_call(backend: Any, tmp_path: Path) -> AsyncIterator[OperatorClient]:
    """Sends requests without a token to a server in unauthenticated mode."""
    server = OperatorsServer(fakes.daemon_settings(tmp_path), backend)
    await server.start()
    async with aiohttp.ClientSession() as session:
        yield OperatorClient(session, server.port, None)
    await server.stop()
