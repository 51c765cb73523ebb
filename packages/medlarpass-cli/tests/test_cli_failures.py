"""Guards against wrong exit statuses and against changes that run twice when they are retried."""

from __future__ import annotations

import json
import socket

import aiohttp
import pytest

from aiohttp import web
from operators_fakes import READ_TOKEN
from operators_fakes import unavailable_error
from operators_fakes import unknown_result_error

from medlarpass.replication import NotLeaderError
from medlarpass_cli import client


@pytest.fixture
def closed_url():
    """URL of a port on which nothing listens."""
    with socket.socket() as bound_socket:
        bound_socket.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound_socket.getsockname()[1]}"


class ResponseDroppingProxy:
    """Forwards requests to a replica and drops the responses."""

    def __init__(self, target_url: str) -> None:
        self.target_url = target_url
        self.change_ids: list[str | None] = []

    async def handle(self, request: web.Request) -> web.Response:
        self.change_ids.append(request.headers.get("Idempotency-Key"))
        headers = {
            name: value
            for name, value in request.headers.items()
            if name in ("Authorization", "Idempotency-Key", "Content-Type")
        }
        async with (
            aiohttp.ClientSession() as session,
            session.request(
                request.method,
                self.target_url + request.path,
                headers=headers,
                data=await request.read(),
            ) as response,
        ):
            await response.read()
        request.transport.abort()
        return web.Response()


async def start_server(handler):
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, f"http://127.0.0.1:{runner.addresses[0][1]}"


@pytest.fixture
async def proxy(control):
    proxy = ResponseDroppingProxy(control)
    runner, proxy.url = await start_server(proxy.handle)
    yield proxy
    await runner.cleanup()


async def test_next_replica_is_tried_when_one_is_down(
    run_program, control, closed_url, token_file, backend
) -> None:
    urls = ("--control", closed_url, "--control", control)
    result = await run_program(*urls, "--token-file", token_file, "drain", "stock-1")
    assert result.status == 0
    assert backend.state.tables.drained == {"stock-1"}


async def test_urls_before_and_after_the_command_are_combined(
    run_program, control, closed_url, token_file
) -> None:
    result = await run_program(
        "--control", closed_url, "drains", "--control", control, "--token-file", token_file
    )
    assert result.status == 0


async def test_change_with_a_lost_response_is_retried_with_its_id_and_runs_once(
    run_program, control, proxy, token_file, backend
) -> None:
    urls = ("--control", proxy.url, "--control", control)
    result = await run_program(*urls, "--token-file", token_file, "drain", "stock-1")
    assert result.status == 0
    # aiohttp itself retries a PUT on a lost connection, so the proxy may receive it more than once.
    change_ids = {command.set_drain.change_id for command in backend.commands}
    assert len(backend.commands) >= 2
    assert change_ids == set(proxy.change_ids)
    assert len(change_ids) == 1
    assert backend.state.tables.revision == 1


async def test_result_stays_unknown_when_every_response_is_lost(
    run_program, proxy, token_file, backend
) -> None:
    result = await run_program(
        "--control", proxy.url, "--token-file", token_file, "drain", "a", "--change-id", "d1"
    )
    assert result.status == 5
    assert "--change-id d1" in result.err
    assert len(proxy.change_ids) >= client.ROUND_COUNT
    assert set(proxy.change_ids) == {"d1"}
    assert backend.state.tables.revision == 1


async def test_refusal_by_another_replica_does_not_resolve_an_unknown_result(
    run_program, proxy, token_file
) -> None:
    async def reject_unauthenticated(request):
        body = {"code": "unauthenticated", "message": "no", "outcome": "not-run"}
        return web.json_response(body, status=401)

    runner, url = await start_server(reject_unauthenticated)
    try:
        urls = ("--control", proxy.url, "--control", url)
        result = await run_program(*urls, "--token-file", token_file, "drain", "a")
    finally:
        await runner.cleanup()
    assert result.status == 5


async def test_later_run_with_the_change_id_gets_the_first_outcome(run_command, backend) -> None:
    backend.failures = [unknown_result_error() for _ in range(client.ROUND_COUNT)]
    first_run = await run_command("drain", "a", "--change-id", "d1")
    assert first_run.status == 5
    assert (await run_command("drain", "a", "--change-id", "d1")).status == 0
    assert backend.state.tables.revision == 1


async def test_change_is_retried_during_an_election(run_command, backend) -> None:
    backend.failures = [unavailable_error(), NotLeaderError("election")]
    assert (await run_command("drain", "a")).status == 0


@pytest.mark.parametrize(
    "make_error", [unavailable_error, lambda: NotLeaderError("no way to the leader")]
)
async def test_no_majority_is_unavailable(run_command, backend, make_error) -> None:
    backend.failures = [make_error() for _ in range(client.ROUND_COUNT)]
    result = await run_command("drain", "a", "--output", "json")
    assert result.status == 4
    assert json.loads(result.err)["outcome"] == "not-run"
    assert not backend.commands


async def test_refused_connection_is_unavailable(run_program, closed_url) -> None:
    assert (await run_program("--control", closed_url, "drain", "a")).status == 4
    assert (await run_program("--control", closed_url, "list", "pools")).status == 4


async def test_read_without_a_response_is_unavailable(run_program, proxy, token_file) -> None:
    result = await run_program("--control", proxy.url, "--token-file", token_file, "drains")
    assert result.status == 4


async def test_stale_read_needs_no_majority(run_command, backend) -> None:
    backend.read_failure = unavailable_error()
    assert (await run_command("list", "pools")).status == 4
    assert (await run_command("list", "pools", "--stale")).status == 0


@pytest.mark.parametrize(
    ("content", "status"), [("<html>", 200), ("[]", 200), ("", 204), ("bad gateway", 502)]
)
async def test_invalid_response_leaves_the_result_of_a_change_unknown(
    run_program, content, status
) -> None:
    async def send_invalid_response(request):
        return web.Response(text=content, status=status)

    runner, url = await start_server(send_invalid_response)
    try:
        assert (await run_program("--control", url, "drain", "a")).status == 5
        assert (await run_program("--control", url, "drains")).status == 4
    finally:
        await runner.cleanup()


@pytest.mark.parametrize(
    ("arguments", "status", "expected_code"),
    [
        (("delete", "pool", "none", "--expected-version", "3"), 3, "version_conflict"),
        (("show", "pool", "none"), 1, "item_not_found"),
        (("show", "pool", "Upper"), 1, "invalid_call"),
        (("show", "pool", "../routes"), 1, "invalid_call"),
        (("audit", "--limit", "0"), 1, "invalid_call"),
        (("drain", "a b"), 1, "invalid_call"),
        (("drain", "a", "--change-id", "a b"), 1, "invalid_call"),
    ],
)
async def test_refused_request(run_command, arguments, status, expected_code) -> None:
    result = await run_command(*arguments)
    assert result.status == status
    assert expected_code in result.err


async def test_token_that_allows_only_reads_is_refused(
    run_program, control, tmp_path, backend
) -> None:
    path = tmp_path / "read"
    path.write_text(READ_TOKEN)
    result = await run_program("--control", control, "--token-file", path, "drain", "a")
    assert result.status == 1
    assert "forbidden" in result.err
    assert backend.state.tables.audit.records[0].outcome == "forbidden"


@pytest.mark.parametrize(
    "arguments",
    [
        (),
        ("unknown",),
        ("list", "tags"),
        ("list", "pools"),
        ("--control", "127.0.0.1:7400", "list", "pools"),
        ("--control", "ftp://127.0.0.1", "list", "pools"),
        ("--control", "http://127.0.0.1:99999", "list", "pools"),
        ("--control", "http://127.0.0.1:1", "--token-file", "/nowhere/token", "list", "pools"),
        ("--control", "http://127.0.0.1:1", "--timeout", "0", "list", "pools"),
        ("--control", "http://127.0.0.1:1", "delete", "pool", "stock"),
        ("--control", "http://127.0.0.1:1", "put", "pool", "stock", "/nowhere"),
        ("--control", "http://127.0.0.1:1", "apply", "/nowhere"),
        ("check", "/nowhere"),
    ],
)
async def test_usage_error(run_program, arguments) -> None:
    result = await run_program(*arguments)
    assert result.status == 2
    assert result.err
