"""Guards against changed responses of the operators' API and lost or duplicated changes."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from operators_fakes import CHANGE_TOKEN
from operators_fakes import STOCK_POOL
from operators_fakes import STOCK_ROUTE
from operators_fakes import daemon_settings
from operators_fakes import unavailable_error
from operators_fakes import unknown_result_error

from medlarpass.replication import NotLeaderError
from medlarpass_daemon.control.operators import OperatorsServer

POOL_AND_ROUTE = {
    "items": [
        {"kind": "pool", "name": "stock", "expected_version": 0, "document": STOCK_POOL},
        {"kind": "route", "name": "stock", "expected_version": 0, "document": STOCK_ROUTE},
    ]
}
PUT_POOL = {"expected_version": 0, "document": STOCK_POOL}


async def test_one_change_creates_both_tables(call, backend) -> None:
    response = await call("POST", "/v1/changes", POOL_AND_ROUTE, "c1")
    assert response.status == 200
    assert response.body["status"] == "accepted"
    assert response.body["revision"] == 1
    assert [item["version"] for item in response.body["items"]] == [1, 1]
    listed = await call("GET", "/v1/routes")
    assert [item["name"] for item in listed.body["items"]] == ["stock"]
    shown = await call("GET", "/v1/pools/stock")
    assert shown.body["version"] == 1
    assert shown.body["document"]["shards"] == 16


async def test_put_and_delete_need_the_present_version(call, backend) -> None:
    assert (await call("PUT", "/v1/pools/stock", PUT_POOL, "c1")).status == 200
    changed = {"expected_version": 1, "document": {**STOCK_POOL, "moves_per_minute": 30}}
    response = await call("PUT", "/v1/pools/stock", changed, "c2")
    assert response.body["items"][0]["version"] == 2
    conflict = await call("DELETE", "/v1/pools/stock", {"expected_version": 1}, "c3")
    assert (conflict.status, conflict.body["code"]) == (409, "version_conflict")
    assert conflict.body["items"][0]["version"] == 2
    assert conflict.headers["Medlarpass-Outcome"] == "not-run"
    deleted = await call("DELETE", "/v1/pools/stock", {"expected_version": 2}, "c4")
    assert deleted.status == 200
    missing = await call("GET", "/v1/pools/stock")
    assert (missing.status, missing.body["code"]) == (404, "item_not_found")


async def test_shape_of_a_pool_is_fixed(call, backend) -> None:
    """While two numbers of shards are in use, a key could have two owners."""
    await call("PUT", "/v1/pools/stock", PUT_POOL, "c1")
    for number, shape in enumerate([{"shards": 32}, {"owned": False}]):
        changed = {"expected_version": 1, "document": {**STOCK_POOL, **shape}}
        response = await call("PUT", "/v1/pools/stock", changed, f"shape-{number}")
        assert (response.status, response.body["code"]) == (409, "pool_shape_fixed")
        assert response.body["items"][0]["version"] == 1
    assert backend.state.tables.revision == 1


async def test_of_racing_changes_exactly_one_is_accepted(call, backend) -> None:
    responses = await asyncio.gather(
        *(call("PUT", "/v1/pools/stock", PUT_POOL, f"race-{number}") for number in range(8))
    )
    assert sorted(response.status for response in responses) == [200] + [409] * 7
    assert backend.state.tables.revision == 1
    assert len(backend.state.tables.audit.records) == 8


async def test_resend_after_a_lost_answer_gets_the_first_outcome(call, backend) -> None:
    backend.failures = [unknown_result_error()]
    unknown_response = await call("PUT", "/v1/pools/stock", PUT_POOL, "c1")
    assert (unknown_response.status, unknown_response.body["outcome"]) == (504, "unknown")
    assert unknown_response.headers["Medlarpass-Outcome"] == "unknown"
    changed = {"expected_version": 1, "document": {**STOCK_POOL, "moves_per_minute": 30}}
    assert (await call("PUT", "/v1/pools/stock", changed, "c2")).status == 200
    retried = await call("PUT", "/v1/pools/stock", PUT_POOL, "c1")
    assert (retried.status, retried.body["revision"]) == (200, 1)
    assert backend.state.tables.revision == 2


async def test_resend_of_a_refused_change_stays_refused(call, backend) -> None:
    original = await call("PUT", "/v1/routes/stock", {**PUT_POOL, "document": STOCK_ROUTE}, "c1")
    assert original.body["code"] == "missing_pool"
    await call("PUT", "/v1/pools/stock", PUT_POOL, "c2")
    retried = await call("PUT", "/v1/routes/stock", {**PUT_POOL, "document": STOCK_ROUTE}, "c1")
    assert (retried.status, retried.body["code"]) == (400, "missing_pool")


async def test_change_id_of_another_change_is_refused(call) -> None:
    await call("PUT", "/v1/pools/stock", PUT_POOL, "c1")
    other = await call("PUT", "/v1/pools/tags", PUT_POOL, "c1")
    assert (other.status, other.body["code"]) == (409, "change_id_reused")


@pytest.mark.parametrize(
    ("failure", "status", "code", "outcome"),
    [
        (NotLeaderError("no way to the leader"), 503, "not_leader", "not-run"),
        (unavailable_error(), 503, "control_unavailable", "not-run"),
        (unknown_result_error(), 504, "unknown_result", "unknown"),
    ],
    ids=["not leader", "no majority", "unknown result"],
)
@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        ("PUT", "/v1/pools/stock", PUT_POOL),
        ("DELETE", "/v1/pools/stock", {"expected_version": 0}),
        ("POST", "/v1/changes", POOL_AND_ROUTE),
        ("PUT", "/v1/drains/stock-1", None),
        ("DELETE", "/v1/drains/stock-1", None),
        ("PUT", "/v1/evacuations/north", None),
        ("DELETE", "/v1/evacuations/north", None),
        (
            "POST",
            "/v1/replicas",
            {"name": "control-9", "domain": "north", "address": "127.0.0.1:1"},
        ),
        (
            "PUT",
            "/v1/replicas/r1",
            {"name": "control-9", "domain": "north", "address": "127.0.0.1:1"},
        ),
        ("DELETE", "/v1/replicas/r1", None),
    ],
)
async def test_failures_of_the_log_reach_the_operator(
    call, backend, method, path, body, failure, status, code, outcome
) -> None:
    backend.failures = [failure]
    response = await call(method, path, body, "c1")
    assert (response.status, response.body["code"]) == (status, code)
    assert response.body["outcome"] == response.headers["Medlarpass-Outcome"] == outcome
    assert response.body["request_id"]


@pytest.mark.parametrize(
    "path",
    [
        "/v1/routes",
        "/v1/pools/stock",
        "/v1/in-force",
        "/v1/drains",
        "/v1/evacuations",
        "/v1/audit",
    ],
)
async def test_reads_need_a_majority_unless_stale_is_allowed(call, backend, path) -> None:
    await call("POST", "/v1/changes", POOL_AND_ROUTE, "c1")
    backend.read_failure = unavailable_error()
    refused = await call("GET", path)
    assert (refused.status, refused.body["code"]) == (503, "control_unavailable")
    assert (await call("GET", f"{path}?stale=true")).status == 200


async def test_drain_shows_in_servers_and_drains(call) -> None:
    assert (await call("PUT", "/v1/drains/stock-1", None, "d1")).status == 200
    servers = (await call("GET", "/v1/servers")).body["servers"]
    assert [(server["identity"], server["drained"]) for server in servers] == [("stock-1", True)]
    assert (await call("GET", "/v1/drains")).body == {"servers": ["stock-1"]}
    assert (await call("DELETE", "/v1/drains/stock-1", None, "d2")).status == 200
    assert (await call("GET", "/v1/drains")).body == {"servers": []}


async def test_evacuations_are_started_listed_audited_and_ended(call, backend) -> None:
    """Guards against an evacuation that the fleet does not see, or that nobody can trace."""
    assert (await call("PUT", "/v1/evacuations/north", None, "e1")).status == 200
    assert (await call("PUT", "/v1/evacuations/north", None, "e1")).status == 200
    assert backend.state.tables.evacuated_domains == {"north"}
    assert (await call("GET", "/v1/evacuations")).body == {"domains": ["north"]}
    (record,) = (await call("GET", "/v1/audit")).body["records"]
    assert (record["author"], record["action"]) == ("amina", "evacuate north")
    assert (await call("DELETE", "/v1/evacuations/north", None, "e2")).status == 200
    assert (await call("GET", "/v1/evacuations")).body == {"domains": []}


async def test_control_that_discovers_no_servers_refuses_evacuations(
    backend, tmp_path, token_path
) -> None:
    """Guards against an accepted evacuation without any effect."""
    settings = daemon_settings(tmp_path, token_path, discovers_servers=False)
    server = OperatorsServer(settings, backend)
    await server.start()
    url = f"http://127.0.0.1:{server.port}/v1/evacuations/north"
    headers = {"Authorization": f"Bearer {CHANGE_TOKEN}", "Idempotency-Key": "e1"}
    async with aiohttp.ClientSession() as session, session.put(url, headers=headers) as response:
        assert response.status == 422
        assert (await response.json())["code"] == "evacuation_not_supported"
    await server.stop()
    assert not backend.state.tables.evacuated_domains


async def test_in_force_names_each_place_and_the_accepted_revision(call) -> None:
    await call("POST", "/v1/changes", POOL_AND_ROUTE, "c1")
    response = await call("GET", "/v1/in-force")
    assert response.body == {
        "revision": 1,
        "places": [{"place": "entry-1", "domain": "north", "revision": 1, "age_ms": 40}],
    }


async def test_grants_are_filtered_and_fences_keep_64_bits(call) -> None:
    assert len((await call("GET", "/v1/grants")).body["grants"]) == 2
    grants = (await call("GET", "/v1/grants?pool=stock&server=stock-1")).body["grants"]
    assert [(grant["shard"], grant["fence"]) for grant in grants] == [(3, "1000000000000000")]


async def test_domains_are_summed_up(call) -> None:
    domains = (await call("GET", "/v1/domains")).body["domains"]
    assert [(item["domain"], item["servers"], item["grants"]) for item in domains] == [
        ("north", 1, 2)
    ]


async def test_replicas_are_changed_and_audited(call, backend) -> None:
    new = {"name": "control-9", "domain": "east", "address": "127.0.0.1:7009"}
    assert (await call("POST", "/v1/replicas", new, "m1")).body["status"] == "accepted"
    assert (await call("POST", "/v1/replicas", new, "m1")).status == 200
    assert (await call("DELETE", "/v1/replicas/r9", None, "m2")).status == 200
    assert (await call("PUT", "/v1/replicas/r2", new, "m3")).status == 200
    replicas = (await call("GET", "/v1/replicas")).body["replicas"]
    assert [replica["name"] for replica in replicas] == ["control-1", "control-9"]
    assert replicas[0]["status"]["role"] == "leader"
    assert replicas[1]["status"] is None
    audit = [(record.change_id, record.outcome) for record in backend.state.tables.audit.records]
    assert audit == [
        ("m1", "accepted"),
        ("m1", "accepted"),
        ("m2", "accepted"),
        ("m3", "accepted"),
    ]


async def test_audit_trail_is_read_page_by_page(call) -> None:
    for number in range(5):
        await call("PUT", f"/v1/drains/stock-{number}", None, f"d{number}")
    first_page = (await call("GET", "/v1/audit?limit=2")).body
    assert [record["number"] for record in first_page["records"]] == [1, 2]
    assert (first_page["next"], first_page["oldest"], first_page["count"]) == (2, 1, 5)
    second_page = (await call("GET", "/v1/audit?after=2")).body
    assert [record["change_id"] for record in second_page["records"]] == ["d2", "d3", "d4"]
    record = second_page["records"][0]
    assert (record["author"], record["source"]) == ("amina", "127.0.0.1")
    assert (record["before"], record["after"]) == ("in use", "drained")


async def test_unexpected_error_is_answered_as_unknown(call, backend) -> None:
    backend.failures = [RuntimeError("fault in the backend")]
    response = await call("PUT", "/v1/pools/stock", PUT_POOL, "c1")
    assert (response.status, response.body["code"]) == (500, "internal_error")
    assert response.body["outcome"] == "unknown"
    assert "fault" not in response.body["message"]


async def test_stop_finishes_the_change_in_flight(backend, tmp_path) -> None:
    propose_entered = asyncio.Event()
    propose_released = asyncio.Event()
    propose = backend.propose

    async def propose_when_released(command):
        propose_entered.set()
        await propose_released.wait()
        return await propose(command)

    backend.propose = propose_when_released
    server = OperatorsServer(daemon_settings(tmp_path), backend)
    await server.start()
    port = server.port
    url = f"http://127.0.0.1:{port}/v1/drains/stock-1"
    async with aiohttp.ClientSession() as session:
        request = asyncio.create_task(session.put(url, headers={"Idempotency-Key": "d1"}))
        await propose_entered.wait()
        stop = asyncio.create_task(server.stop())
        await wait_until_closed(port)
        # A stop that did not wait would abort the request here.
        await asyncio.wait([request, stop], timeout=0.2)
        assert not stop.done()
        propose_released.set()
        response = await request
        assert response.status == 200
        await stop
    assert len(backend.commands) == 1


async def test_stop_without_a_wait_does_not_wait(backend, tmp_path) -> None:
    propose_entered = asyncio.Event()

    async def propose_forever(command):
        propose_entered.set()
        await asyncio.Event().wait()

    backend.propose = propose_forever
    settings = daemon_settings(tmp_path)
    settings.stop.finish_within = 0.0
    server = OperatorsServer(settings, backend)
    await server.start()
    url = f"http://127.0.0.1:{server.port}/v1/drains/stock-1"
    async with aiohttp.ClientSession() as session:
        request = asyncio.create_task(session.put(url, headers={"Idempotency-Key": "d1"}))
        await propose_entered.wait()
        await asyncio.wait_for(server.stop(), 30)
        with pytest.raises(aiohttp.ClientError):
            await request


async def wait_until_closed(port: int) -> None:
    """Wait until a port no longer accepts connections."""
    while True:
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return
        writer.close()
        await asyncio.sleep(0.01)
