"""Measurement of the whole request path with real processes on loopback."""

from __future__ import annotations

import json
import os
import tempfile
import time

from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from examples.quickstart import TABLES
from medlarpass.ownership import shard_of
from tools.bench.cluster import Cluster
from tools.bench.http_client import HttpResponse
from tools.bench.http_client import send_request
from tools.bench.ports import LOOPBACK
from tools.bench.process import ChildProcess
from tools.bench.process import eventually
from tools.measure.profile_parts import own_time_by_module
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from tools.measure.options import Options

ROOT = Path(__file__).resolve().parent.parent.parent
SHARD_COUNT = 64
SERVER_COUNT = 4
# High enough that the concurrency limit of the servers does not bound the throughput.
SLOTS_PER_SERVER = 64
# With this many keys, none is hot enough to be isolated.
KEY_COUNT = 2000
CONNECTION_COUNT = 32
ORDER_CONNECTION_COUNT = 16
# Number of keys probed after the loss of a server.
PROBED_KEY_COUNT = 64
PROBE_INTERVAL_SECONDS = 0.005
MAX_LOAD_ATTEMPT_COUNT = 4
# An entry with a lower throughput has stopped serving and is restarted.
MIN_REQUESTS_PER_SECOND = 20.0
# Deadlines of the probe requests: the short one shows when new requests are served again, the long
# one how long a request waits that was sent right after the loss.
PROBE_DEADLINES_MS = (50, 3000)
# A key that is not served within this time after a loss counts as not served again.
MAX_OUTAGE_SECONDS = 8.0
PROFILED_MODULE_COUNT = 5
HTTP_OK_STATUS = 200
MICROSECONDS_PER_SECOND = 1e6


class RequestPathMeasurement:
    """Runs a cluster and measures its request path.

    :param options: options of the run
    :param folder: empty folder
    """

    __slots__ = ("child_processes", "cluster", "folder", "load_count", "options", "restart_count")

    def __init__(self, options: Options, folder: Path) -> None:
        self.options = options
        self.folder = folder
        self.cluster = Cluster(folder, ROOT, domains=("a",), entries=1, replicas=("a",))
        for number in range(SERVER_COUNT):
            self.cluster.add_servers(f"stock{number}", "a", "stock", 1, slots=SLOTS_PER_SERVER)
        self.cluster.add_servers("order", "a", "orders", 2, slots=SLOTS_PER_SERVER)
        self.load_count = 0
        self.child_processes: list[ChildProcess] = []
        #: Restarts of an entry that had stopped serving enquiries.
        self.restart_count = 0

    def run(self) -> list[Row]:
        """Run all measurements, then terminate all processes."""
        try:
            self.cluster.start()
            response = self.cluster.send_change("measure", TABLES)
            assert response.status == HTTP_OK_STATUS, response.body
            self._wait_until_owned()
            rows = [*self._throughput(), self._orders(), *self._server_losses(), *self._profile()]
            restart_row = Row("entry restarts", "entry", {"restarts": self.restart_count})
            return [*rows, restart_row]
        finally:
            for process in self.child_processes:
                if process.running:
                    process.kill()
            self.cluster.close()

    def _throughput(self) -> list[Row]:
        entry_port = self.cluster.entries[0].http_port
        seconds = self.options.choose(2.0, 6.0)
        # The pass-through is measured first: its fixed fences are those of the first grants.
        port, pass_through = self._start_pass_through()
        full_load = {
            "pass-through": self._load_and_cpu(port, pass_through, seconds),
            "entry": self._load_and_cpu(entry_port, self.cluster.entries[0].child, seconds),
        }
        full_load["entry"]["part_of_bare"] = (
            full_load["entry"]["per_s"] / full_load["pass-through"]["per_s"]
        )
        rate = full_load["entry"]["per_s"] / 2
        half_load = {"entry": self._load(entry_port, seconds, rate)}
        pass_through.kill()
        port, pass_through = self._start_pass_through()
        half_load["pass-through"] = self._load(port, seconds, rate)
        pass_through.kill()
        half_load["server alone"] = direct = self._load_direct(seconds, rate)
        for name in ("entry", "pass-through"):
            for figure in ("p50_ms", "p99_ms"):
                half_load[name][f"added_{figure}"] = half_load[name][figure] - direct[figure]
        return [
            *(Row("enquiries, full load", name, figures) for name, figures in full_load.items()),
            *(Row("enquiries, half load", name, figures) for name, figures in half_load.items()),
        ]

    def _load_and_cpu(self, port: int, process: ChildProcess, seconds: float) -> dict[str, float]:
        cpu_seconds_before = _cpu_seconds(process)
        figures = self._load(port, seconds)
        cpu_seconds = _cpu_seconds(process) - cpu_seconds_before
        figures["cpu_us_per_request"] = (
            MICROSECONDS_PER_SECOND * cpu_seconds / (figures["per_s"] * seconds)
        )
        return figures

    def _orders(self) -> Row:
        seconds = self.options.choose(2.0, 5.0)
        entry_port = self.cluster.entries[0].http_port
        figures = self._load(entry_port, seconds, kind="order", connections=ORDER_CONNECTION_COUNT)
        executed_orders = self.cluster.executed_orders()
        figures["run_twice"] = len(executed_orders) - len(set(executed_orders))
        return Row("orders with idempotency key", "entry", figures)

    def _server_losses(self) -> list[Row]:
        """Kill servers one after the other, with a freshly started entry."""
        rows = []
        self._restart_entry()
        self.restart_count -= 1
        for number in range(int(self.options.choose(1, SERVER_COUNT - 1))):
            owners = {key: self._serving_server(key) for key in _keys(PROBED_KEY_COUNT)}
            keys = [key for key, server in owners.items() if server == f"stock{number}-1"]
            if len(keys) < len(PROBE_DEADLINES_MS):
                raise RuntimeError(f"stock{number}-1 owns too few of the probed keys")
            self.cluster.groups[f"stock{number}"].process.kill()
            killed_at = time.perf_counter()
            with ThreadPoolExecutor(max_workers=len(keys)) as pool:
                deadlines = [
                    PROBE_DEADLINES_MS[n % len(PROBE_DEADLINES_MS)] for n in range(len(keys))
                ]
                served_at = list(pool.map(self._wait_until_served, keys, deadlines))
            figures = {"keys": float(len(keys))}
            for n, deadline in enumerate(PROBE_DEADLINES_MS):
                figures[f"all_by_{deadline}_ms_requests_s"] = (
                    max(served_at[n :: len(PROBE_DEADLINES_MS)]) - killed_at
                )
            rows.append(Row("loss of a server", f"loss {number + 1}", figures))
        return rows

    def _profile(self) -> list[Row]:
        """Run the entry under cProfile and return the modules with the most processor time."""
        entry = self.cluster.entries[0]
        path = self.folder / "entry.profile"
        entry.child.kill()
        entry.child.arguments[:0] = ["-m", "cProfile", "-o", str(path)]
        entry.child.start()
        self._wait_until_owned()
        figures = self._load(entry.http_port, self.options.choose(2.0, 5.0))
        entry.child.terminate()
        entry.child.wait()
        modules = own_time_by_module(path)[:PROFILED_MODULE_COUNT]
        rows = [
            Row("entry under cProfile", module, {"own_time_pct": share})
            for module, share in modules
        ]
        rows[0].figures["per_s"] = round(figures["per_s"], 1)
        return rows

    def _wait_until_owned(self) -> None:
        keys = _keys(PROBED_KEY_COUNT)

        def all_owned() -> bool:
            return all(self._serving_server(key) for key in keys)

        eventually("all probed keys are owned", all_owned)

    def _serving_server(self, key: str, deadline_ms: int = PROBE_DEADLINES_MS[-1]) -> str:
        response = self._send_enquiry(key, deadline_ms)
        if response is None or response.status != HTTP_OK_STATUS:
            return ""
        server: str = response.json()["server"]
        return server

    def _send_enquiry(
        self, key: str, deadline_ms: int = PROBE_DEADLINES_MS[-1]
    ) -> HttpResponse | None:
        headers = {"Medlarpass-Deadline-Ms": str(deadline_ms)}
        return send_request(
            "GET", self.cluster.entries[0].http_port, f"/stock/{key}", headers=headers
        )

    def _wait_until_served(self, key: str, deadline_ms: int) -> float:
        """Return the time at which a key was served, or at which waiting for it ended."""
        gives_up_at = time.perf_counter() + MAX_OUTAGE_SECONDS
        while time.perf_counter() < gives_up_at:
            if self._serving_server(key, deadline_ms):
                break
            time.sleep(PROBE_INTERVAL_SECONDS)
        return time.perf_counter()

    def _targets(self) -> dict[str, tuple[int, dict[str, str]]]:
        """Return the owner's port and the grant headers by path."""
        ports = {
            identity: port
            for group in self.cluster.groups.values()
            for identity, port in group.ports_by_identity.items()
        }
        shards = {(shard_of("stock", key, SHARD_COUNT), "") for key in _keys(KEY_COUNT)}
        grants: dict[tuple[int, str], dict[str, Any]] = {}

        def all_granted() -> bool:
            response = send_request(
                "GET", self.cluster.control[0].http_port, "/v1/grants?pool=stock"
            )
            if response is None or response.status != HTTP_OK_STATUS:
                return False
            found = response.json()["grants"]
            grants.update({(grant["shard"], grant["key"] or ""): grant for grant in found})
            return shards <= grants.keys()

        eventually("all grants are reported to control", all_granted)
        result = {}
        for key in _keys(KEY_COUNT):
            shard = shard_of("stock", key, SHARD_COUNT)
            grant = grants.get((shard, key), grants[shard, ""])
            fence = int(grant["fence"], 16)
            headers = {"Medlarpass-Shard": str(shard), "Medlarpass-Fence": str(fence)}
            result[f"/stock/{key}"] = (ports[grant["server"]], headers)
        return result

    def _start_pass_through(self) -> tuple[int, ChildProcess]:
        targets_path = self.folder / "targets.json"
        targets = {
            path: (f"http://{LOOPBACK}:{port}", headers)
            for path, (port, headers) in self._targets().items()
        }
        targets_path.write_text(json.dumps(targets), encoding="utf-8")
        port = self.cluster.ports.allocate()
        self.cluster.ports.release()
        arguments = ["-m", "tools.measure.pass_through", str(port), str(targets_path)]
        process = ChildProcess("bare", arguments, ROOT, self.folder / "bare.log")
        self.child_processes.append(process)
        process.start()
        eventually("the pass-through serves", lambda: send_request("GET", port, "/stock/roll-1"))
        return port, process

    def _load_direct(self, seconds: float, rate: float) -> dict[str, float]:
        """Send one server its share of the rate directly, without entry or pass-through."""
        port = self.cluster.groups["stock0"].ports_by_identity["stock0-1"]
        targets = self._targets()
        requests = [
            (path, headers) for path, (owner_port, headers) in targets.items() if owner_port == port
        ]
        return self._load(port, seconds, rate / SERVER_COUNT, requests=requests)

    def _load(
        self,
        port: int,
        seconds: float,
        rate: float = 0.0,
        kind: str = "enquiry",
        connections: int = CONNECTION_COUNT,
        requests: list[tuple[str, dict[str, str]]] | None = None,
    ) -> dict[str, float]:
        for _ in range(MAX_LOAD_ATTEMPT_COUNT):
            figures = self._load_once(port, seconds, rate, kind, connections, requests)
            if figures["per_s"] >= MIN_REQUESTS_PER_SECOND:
                return figures
            self._restart_entry()
        raise RuntimeError(f"load on port {port} got too few successful responses: {figures}")

    def _restart_entry(self) -> None:
        self.restart_count += 1
        entry = self.cluster.entries[0].child
        entry.kill()
        entry.start()
        self._wait_until_owned()

    def _load_once(
        self,
        port: int,
        seconds: float,
        rate: float = 0.0,
        kind: str = "enquiry",
        connections: int = CONNECTION_COUNT,
        requests: list[tuple[str, dict[str, str]]] | None = None,
    ) -> dict[str, float]:
        self.load_count += 1
        path = self.folder / f"requests{self.load_count}.json"
        path.write_text(json.dumps(requests or [(f"/stock/{key}", {}) for key in _keys(KEY_COUNT)]))
        spec = {
            "port": port,
            "connections": connections,
            "seconds": seconds,
            "rate": rate,
            "kind": kind,
            "requests": str(path),
            "seed": self.options.seed,
            "name": f"load{self.load_count}",
        }
        output = self.folder / f"load{self.load_count}.json"
        arguments = ["-m", "tools.measure.load_client", json.dumps(spec)]
        process = ChildProcess(f"load{self.load_count}", arguments, ROOT, output)
        self.child_processes.append(process)
        process.start()
        if process.wait() != 0:
            raise RuntimeError(f"load on port {port} failed: {process.log()}")
        figures: dict[str, float] = json.loads(process.log().splitlines()[-1])
        return figures


def _keys(count: int) -> list[str]:
    return [f"roll-{number}" for number in range(count)]


def _cpu_seconds(process: ChildProcess) -> float:
    """Return the user and system time of a process, from proc(5)."""
    assert process.child is not None
    stat = Path(f"/proc/{process.child.pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@section("path", "Request path with real processes on loopback", is_timed=True)
def run(options: Options) -> list[Row]:
    """Start a cluster, measure it and stop it."""
    with tempfile.TemporaryDirectory(prefix="medlarpass-measure-") as folder:
        return RequestPathMeasurement(options, Path(folder)).run()
