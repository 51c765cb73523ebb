from __future__ import annotations

import asyncio
import importlib.util
import sys

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import pytest

from medlarpass_cli import client
from medlarpass_cli.__main__ import main
from medlarpass_daemon.control.operators import OperatorsServer

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import ModuleType

FAKES = Path("medlarpass-daemon/tests/control/operators/operators_fakes.py")


def _load_fakes() -> ModuleType:
    # The import mode importlib adds no test folder to the module path.
    if "operators_fakes" not in sys.modules:
        path = Path(__file__).parents[2] / FAKES
        spec = importlib.util.spec_from_file_location("operators_fakes", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules["operators_fakes"] = module
        spec.loader.exec_module(module)
    return sys.modules["operators_fakes"]


fakes = _load_fakes()


class Run:
    def __init__(self, status: int, out: str, err: str) -> None:
        self.status = status
        self.out = out
        self.err = err


@pytest.fixture(autouse=True)
def short_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "PAUSE", 0.01)


@pytest.fixture
def backend() -> Any:
    return fakes.FakeBackend()


@pytest.fixture
async def control(backend: Any, tmp_path: Path) -> AsyncIterator[str]:
    """Base URL of a control replica with tokens."""
    tokens = fakes.write_tokens(
        tmp_path / "tokens.yaml",
        ("amina", "change", fakes.CHANGE_TOKEN),
        ("bulan", "read", fakes.READ_TOKEN),
    )
    server = OperatorsServer(fakes.daemon_settings(tmp_path, tokens), backend)
    await server.start()
    yield f"http://127.0.0.1:{server.port}"
    await server.stop()


@pytest.fixture
def token_file(tmp_path: Path) -> Path:
    path = tmp_path / "token"
    path.write_text(fakes.CHANGE_TOKEN + "\n")
    return path


@pytest.fixture
def program(capsys: pytest.CaptureFixture[str]) -> Callable[..., Awaitable[Run]]:
    """Run the program beside the server in the loop of the test."""

    async def run(*arguments: object) -> Run:
        try:
            status = await asyncio.to_thread(main, [str(argument) for argument in arguments])
        except SystemExit as stop:
            status = int(stop.code or 0)
        captured = capsys.readouterr()
        return Run(int(status), captured.out, captured.err)

    return run


@pytest.fixture
def operate(
    program: Callable[..., Awaitable[Run]], control: str, token_file: Path
) -> Callable[..., Awaitable[Run]]:
    """Run the program against the replica with the right to change."""

    async def run(*arguments: object) -> Run:
        return await program("--control", control, "--token-file", token_file, *arguments)

    return run
