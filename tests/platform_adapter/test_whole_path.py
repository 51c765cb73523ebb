"""The daemon's processes with the adapter, from callers to servers."""

from __future__ import annotations

import asyncio
import json
import signal

from typing import TYPE_CHECKING
from typing import Any

from medlarpass_cli.__main__ import main
from tools.soak.fleet_system import PATIENCE

if TYPE_CHECKING:
    import pytest


async def test_each_kind_of_request_is_served(system: Any) -> None:
    """Guards against a path that works in its parts only."""
    holders = {(await system.until_served("/stock/7", key=key))[1][:3] for key in (5, 65_000)}
    assert holders == {"i-1", "i-2"}
    status, body, headers = await system.ask("/orders/9", "POST", data="a roll", request_id="x1")
    assert (status, body) == (200, "i-3 /orders/9 a roll")
    assert headers["Medlarpass-Server-Signature"] == "3e1b"
    assert headers["Medlarpass-Attempt-Id"] == "x1"
    assert (await system.ask("/art/3"))[1] == "i-4 /art/3 "
    # Until control has told the entry that its routes are the newest, it refuses for now.
    denied = await system.until_true(lambda: system.ask("/none/3"), lambda got: got[0] != 503)
    assert denied[0] == 404


async def test_a_confirmed_leave_ends_new_work(system: Any) -> None:
    """Guards against requests to a server whose leave was confirmed."""
    leaving = next(server for server in system.servers if server.holds(5))
    leaving.state = "draining"
    await system.until_true(leaving.say, bool)
    await system.until_true(
        lambda: system.ask("/stock/7", key=5),
        lambda got: got[0] == 200 and not got[1].startswith(leaving.identity),
    )
    ran = len(leaving.ran)
    for key in range(0, 65_536, 4_096):
        assert (await system.until_served("/stock/7", key=key))[0] == 200
    assert len(leaving.ran) == ran


async def test_the_newest_publication_survives_the_leader(system: Any) -> None:
    """Guards against a confirmed configuration that is lost with the replica that took it."""
    await system.publish(2)
    leader = await leader_of(system)
    process = system.processes[leader]
    process.send_signal(signal.SIGKILL)
    await process.wait()
    _, text = await system.until_true(
        lambda: system.control("config.get", {}), lambda got: got[0] == 200
    )
    assert json.loads(text)["version"] == "r2"
    await system.publish(3)
    for path in ("/stock/7", "/orders/7", "/art/7"):
        await system.until_served(path, key=9)


async def test_a_lost_disk_joins_again(system: Any) -> None:
    """Guards against a replica that stays out, or votes twice, after it lost its disk."""
    leader = await leader_of(system)
    name = next(each for each in ("control-0", "control-1", "control-2") if each != leader)
    process = system.processes[name]
    process.send_signal(signal.SIGKILL)
    await process.wait()
    (system.folder / name).rename(system.folder / f"{name}-lost")
    await system.start_process(name)
    await system.until_true(
        lambda: asyncio.sleep(0, events(system, name)), lambda got: "replica_joined" in got
    )
    await system.until_true(
        lambda: asyncio.sleep(0, events(system, leader)), lambda got: "learner_promoted" in got
    )


async def test_an_entry_that_restarts_without_a_leader_serves(system: Any) -> None:
    """Guards against a cut-off domain whose restarted entries refuse all requests."""
    leader = await leader_of(system)
    lost = [leader, next(name for name in system.controls if name != leader)]
    for name in (*lost, "entry"):
        system.processes[name].send_signal(signal.SIGKILL)
        await system.processes[name].wait()
    rest = next(name for name in system.controls if name not in lost)
    # Until then it still passes on what the leader said last.
    await system.until_true(
        lambda: asyncio.sleep(0, events(system, rest)), lambda got: "relay_lost" in got
    )
    await system.start_process("entry")
    for path in ("/orders/7", "/art/7"):
        await system.until_served(path)
    assert "follower_heard" in events(system, "entry")


async def test_a_stop_of_the_entry_finishes_what_runs(system: Any) -> None:
    """Guards against a planned stop that cuts off an order."""
    server = next(server for server in system.servers if server.pool == "orders")
    server.delay = 1.0
    order = asyncio.create_task(system.ask("/orders/1", "POST", data="x", request_id="last"))
    await system.until_true(lambda: asyncio.sleep(0, server.ran), lambda ran: "last" in ran)
    process = system.processes["entry"]
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGTERM)
    assert (await order)[0] == 200
    assert await asyncio.wait_for(process.wait(), 60) == 0


async def test_the_log_leads_from_a_refused_request_to_its_cause(system: Any) -> None:
    """Guards against a refusal that on-call engineers can't explain."""
    server = next(server for server in system.servers if server.pool == "art")
    await server.stop()
    status, _, headers = await system.ask("/art/5", request_id="lost-art")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    await system.until_true(
        lambda: asyncio.sleep(0, story(system, "lost-art")), lambda got: len(got) >= 2
    )
    attempt, *_, end = story(system, "lost-art")
    assert attempt["message_type"] == "medlarpass:attempt_failed"
    assert (attempt["server"], attempt["code"]) == (server.identity, "server_unreachable")
    assert (end["outcome"], end["pool"]) == ("not-run", "art")


async def test_each_kind_of_failure_is_explained_from_its_id(
    system: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against logs that lack what leads from a failed request to its cause."""
    orders = next(server for server in system.servers if server.pool == "orders")
    orders.delay = 30.0
    late = asyncio.create_task(system.ask("/orders/1", "POST", request_id="unknown-order"))
    owner = next(server for server in system.servers if server.holds(5))
    await owner.stop()
    await system.until_true(
        lambda: system.ask("/stock/1", key=5, request_id="lost-owner"), lambda got: got[0] == 503
    )
    assert (await late)[0] == 504
    causes = {"unknown-order": "no answer came until", "lost-owner": "server opened no connection"}
    logs = [str(system.folder / f"{name}.log") for name in system.addresses]
    for request_id, cause in causes.items():
        await system.until_true(
            lambda each=request_id: asyncio.sleep(0, story(system, each)), lambda got: len(got) >= 2
        )
        assert await asyncio.to_thread(main, ["explain", request_id, *logs]) == 0
        assert cause in capsys.readouterr().out
    assert story(system, "lost-owner")[0]["view_age"] < PATIENCE


async def leader_of(system: Any) -> str:
    """Return the name of the process that leads control."""

    async def look() -> list[str]:
        newest: list[tuple[int, str]] = []
        for name in ("control-0", "control-1", "control-2"):
            for line in system.log_of(name):
                if line["message_type"] == "medlarpass:range_keeper_started":
                    newest.append((line["term"], name))
        return [name for _, name in sorted(newest)]

    found: list[str] = await system.until_true(look, bool)
    return found[-1]


def events(system: Any, name: str) -> set[str]:
    """Return the names of the events that a process has logged."""
    return {line["message_type"].removeprefix("medlarpass:") for line in system.log_of(name)}


def story(system: Any, request_id: str) -> list[dict[str, Any]]:
    """Return the lines of the entry's log about a request."""
    return [line for line in system.log_of("entry") if line.get("request_id") == request_id]
