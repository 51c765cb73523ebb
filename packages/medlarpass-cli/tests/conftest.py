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

FAKES_PATH = Path("medlarpass-daemon/tests/control/operators/operators_fakes.py")


def _load_fakes() -> ModuleType:
    # With pytest's import mode importlib, test folders are not on sys.path.
    if "operators_fakes" not in sys.modules:
        path = Path(__file__).parents[2] / FAKES_PATH
        spec = importlib.util.spec_from_file_location("operators_fakes", path)
        assert spec is not None and spec.loader is not None
        module = importlib.util.module_from_spec(spec)
        sys.modules["operators_fakes"] = module
        spec.loader.exec_module(module)
    return sys.modules["operators_fakes"]


fakes = _load_fakes()


class ProgramResult:
    def __init__(self, status: int, out: str, err: str) -> None:
        self.status = status
        self.out = out
        self.err = err


@pytest.fixture(autouse=True)
def short_round_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client, "ROUND_INTERVAL_SECONDS", 0.01)


@pytest.fixture
def backend() -> Any:
    return fakes.FakeBackend()


@pytest.fixture
async def control(backend: Any, tmp_path: Path) -> AsyncIterator[str]:
    """Base URL of a control replica that requires tokens."""
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
def run_program(capsys: pytest.CaptureFixture[str]) -> Callable[..., Awaitable[ProgramResult]]:
    """Return a function that runs the program in a thread, beside the server in the event loop."""

    async def run(*arguments: object) -> ProgramResult:
        try:
            status = await asyncio.to_thread(main, [str(argument) for argument in arguments])
        except SystemExit as error:
            status = int(error.code or 0)
        captured = capsys.readouterr()
        return ProgramResult(int(status), captured.out, captured.err)

    return run


@pytest.fixture
def run_command(
    run_program: Callable[..., Awaitable[ProgramResult]], control: str, token_file: Path
) -> Callable[..., Awaitable[ProgramResult]]:
    """Return a function that runs the program on the replica with a token that allows changes."""

    async def run(*arguments: object) -> ProgramResult:
        return await run_program("--control", control, "--token-file", token_file, *arguments)

    return run
