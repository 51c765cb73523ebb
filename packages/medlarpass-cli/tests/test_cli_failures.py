"""Guards against wrong exit statuses and against changes that run twice when they are resent."""

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
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{holder.getsockname()[1]}"


class Relay:
    """Passes calls to a replica and loses the answers."""

    def __init__(self, target: str) -> None:
        self.target = target
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
                self.target + request.path,
                headers=headers,
                data=await request.read(),
            ) as answer,
        ):
            await answer.read()
        request.transport.abort()
        return web.Response()


async def serve(handler):
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner, f"http://127.0.0.1:{runner.addresses[0][1]}"


@pytest.fixture
async def relay(control):
    relay = Relay(control)
    runner, relay.url = await serve(relay.handle)
    yield relay
    await runner.cleanup()


async def test_next_replica_is_tried_when_one_is_down(
    program, control, closed_url, token_file, backend
) -> None:
    urls = ("--control", closed_url, "--control", control)
    answer = await program(*urls, "--token-file", token_file, "drain", "stock-1")
    assert answer.status == 0
    assert backend.state.tables.drained == {"stock-1"}


async def test_url_may_stand_before_and_after_the_command(
    program, control, closed_url, token_file
) -> None:
    answer = await program(
        "--control", closed_url, "drains", "--control", control, "--token-file", token_file
    )
    assert answer.status == 0


async def test_change_with_a_lost_answer_is_resent_with_its_id_and_runs_once(
    program, control, relay, token_file, backend
) -> None:
    urls = ("--control", relay.url, "--control", control)
    answer = await program(*urls, "--token-file", token_file, "drain", "stock-1")
    assert answer.status == 0
    # aiohttp itself repeats a PUT on a lost connection, so the relay may see it more than once.
    changed = {command.set_drain.change_id for command in backend.commands}
    assert len(backend.commands) >= 2
    assert changed == set(relay.change_ids)
    assert len(changed) == 1
    assert backend.state.tables.revision == 1


async def test_result_stays_unknown_when_every_answer_is_lost(
    program, relay, token_file, backend
) -> None:
    answer = await program(
        "--control", relay.url, "--token-file", token_file, "drain", "a", "--change-id", "d1"
    )
    assert answer.status == 5
    assert "--change-id d1" in answer.err
    assert len(relay.change_ids) >= client.ROUNDS
    assert set(relay.change_ids) == {"d1"}
    assert backend.state.tables.revision == 1


async def test_refusal_by_another_replica_does_not_settle_an_unknown_result(
    program, relay, token_file
) -> None:
    async def stranger(request):
        body = {"code": "unauthenticated", "message": "no", "outcome": "not-run"}
        return web.json_response(body, status=401)

    runner, url = await serve(stranger)
    try:
        urls = ("--control", relay.url, "--control", url)
        answer = await program(*urls, "--token-file", token_file, "drain", "a")
    finally:
        await runner.cleanup()
    assert answer.status == 5


async def test_later_run_with_the_change_id_learns_the_first_outcome(operate, backend) -> None:
    backend.failures = [unknown_result_error() for _ in range(client.ROUNDS)]
    lost = await operate("drain", "a", "--change-id", "d1")
    assert lost.status == 5
    assert (await operate("drain", "a", "--change-id", "d1")).status == 0
    assert backend.state.tables.revision == 1


async def test_election_is_waited_out(operate, backend) -> None:
    backend.failures = [unavailable_error(), NotLeaderError("election")]
    assert (await operate("drain", "a")).status == 0


@pytest.mark.parametrize(
    "make", [unavailable_error, lambda: NotLeaderError("no way to the leader")]
)
async def test_no_majority_is_unavailable(operate, backend, make) -> None:
    backend.failures = [make() for _ in range(client.ROUNDS)]
    answer = await operate("drain", "a", "--output", "json")
    assert answer.status == 4
    assert json.loads(answer.err)["outcome"] == "not-run"
    assert not backend.commands


async def test_nothing_listening_is_unavailable(program, closed_url) -> None:
    assert (await program("--control", closed_url, "drain", "a")).status == 4
    assert (await program("--control", closed_url, "list", "pools")).status == 4


async def test_read_without_an_answer_is_unavailable(program, relay, token_file) -> None:
    answer = await program("--control", relay.url, "--token-file", token_file, "drains")
    assert answer.status == 4


async def test_stale_read_needs_no_majority(operate, backend) -> None:
    backend.read_failure = unavailable_error()
    assert (await operate("list", "pools")).status == 4
    assert (await operate("list", "pools", "--stale")).status == 0


@pytest.mark.parametrize(
    ("content", "status"), [("<html>", 200), ("[]", 200), ("", 204), ("bad gateway", 502)]
)
async def test_answer_of_something_else_leaves_a_change_unknown(program, content, status) -> None:
    async def other(request):
        return web.Response(text=content, status=status)

    runner, url = await serve(other)
    try:
        assert (await program("--control", url, "drain", "a")).status == 5
        assert (await program("--control", url, "drains")).status == 4
    finally:
        await runner.cleanup()


@pytest.mark.parametrize(
    ("arguments", "status", "named"),
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
async def test_refused_call(operate, arguments, status, named) -> None:
    answer = await operate(*arguments)
    assert answer.status == status
    assert named in answer.err


async def test_token_without_the_right_is_refused(program, control, tmp_path, backend) -> None:
    path = tmp_path / "read"
    path.write_text(READ_TOKEN)
    answer = await program("--control", control, "--token-file", path, "drain", "a")
    assert answer.status == 1
    assert "forbidden" in answer.err
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
async def test_usage_error(program, arguments) -> None:
    answer = await program(*arguments)
    assert answer.status == 2
    assert answer.err
