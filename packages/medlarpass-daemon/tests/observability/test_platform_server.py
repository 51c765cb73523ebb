"""Guards against a process that receives requests when not ready, and against missing metrics."""

from __future__ import annotations

import aiohttp
import pytest

from medlarpass_daemon.observability import Metrics
from medlarpass_daemon.observability import PlatformServer
from medlarpass_daemon.observability import Readiness
from medlarpass_daemon.settings import DaemonSettings


@pytest.fixture
def settings() -> DaemonSettings:
    return DaemonSettings(
        {
            "name": "entry-1",
            "domain": "north",
            "roles": [],
            "rpc": {"ip": "127.0.0.1", "port": 0},
            "platform": {"ip": "127.0.0.1", "port": 0},
            "security": {"between_processes": {"mode": "unauthenticated"}},
            "stop": {"balancer_wait": 0.0, "finish_within": 1.0},
            "log": {"file": "-"},
        }
    )


@pytest.fixture
async def platform(settings):
    server = PlatformServer(settings, Readiness(), Metrics().registry)
    await server.start()
    async with aiohttp.ClientSession(f"http://127.0.0.1:{server.port}") as session:
        server.session = session
        yield server
    await server.stop()


async def test_process_is_live_but_not_ready_until_its_start_is_finished(platform) -> None:
    async with platform.session.get("/livez") as response:
        assert response.status == 200
    async with platform.session.get("/readyz") as response:
        assert response.status == 503
        assert list((await response.json())["reasons"]) == ["starting"]
    platform.readiness.clear("starting")
    async with platform.session.get("/readyz") as response:
        assert (response.status, await response.json()) == (200, {"ready": True, "reasons": {}})


async def test_all_reasons_are_listed_and_must_be_cleared(platform) -> None:
    platform.readiness.clear("starting")
    platform.readiness.block("stopping", "planned stop")
    platform.readiness.block("no_configuration")
    platform.readiness.block("stopping", "planned stop, second signal")
    async with platform.session.get("/readyz") as response:
        reasons = (await response.json())["reasons"]
    assert reasons == {"no_configuration": "", "stopping": "planned stop, second signal"}
    platform.readiness.clear("stopping")
    platform.readiness.clear("never there")
    assert not platform.readiness.is_ready
    platform.readiness.clear("no_configuration")
    assert platform.readiness.is_ready


async def test_metrics_have_the_text_form_of_prometheus(settings) -> None:
    metrics = Metrics()
    metrics.imbalance.labels(pool="stock").set(1.12)
    metrics.grant_changes.labels(pool="stock", reason="move").inc()
    metrics.unavailable_intervals.labels(pool="stock", reason="loss").observe(0.4)
    server = PlatformServer(settings, Readiness(), metrics.registry)
    await server.start()
    url = f"http://127.0.0.1:{server.port}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        text = await response.text()
        assert response.headers["Content-Type"].startswith("text/plain")
    await server.stop()
    assert 'medlarpass_imbalance_ratio{pool="stock"} 1.12' in text
    assert 'medlarpass_grant_changes_total{pool="stock",reason="move"} 1.0' in text
    assert 'medlarpass_unavailable_interval_seconds_count{pool="stock",reason="loss"} 1.0' in text
    assert "process_resident_memory_bytes" in text


def test_two_processes_in_one_interpreter_share_no_metrics() -> None:
    first = Metrics()
    second = Metrics()
    first.configuration_revision.set(7)
    assert second.registry.get_sample_value("medlarpass_configuration_revision") == 0.0


async def test_used_port_is_reported(platform, settings) -> None:
    settings.platform.port = platform.port
    server = PlatformServer(settings, Readiness(), Metrics().registry)
    with pytest.raises(OSError):
        await server.start()
    with pytest.raises(RuntimeError):
        _ = server.port
