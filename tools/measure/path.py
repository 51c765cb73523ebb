"""The whole request path with real processes on loopback."""

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
from tools.measure.profile_parts import parts_of
from tools.measure.registry import section
from tools.measure.row import Row

if TYPE_CHECKING:
    from tools.measure.options import Options

ROOT = Path(__file__).resolve().parent.parent.parent
SHARDS = 64
SERVERS = 4
# High enough that the limit of each server is not what is measured.
SLOTS = 64
# So many keys that none is hot enough to be isolated.
KEYS = 2000
CONNECTIONS = 32
ORDER_CONNECTIONS = 16
# Keys probed after a loss.
PROBED = 64
PROBE_PAUSE = 0.005
LOAD_TRIALS = 4
# An entry that answers fewer requests per second than this has stopped serving.
LEAST_RATE = 20.0
# Deadlines of the probing requests in ms: short ones find the moment from which new requests are
# served, long ones show how long a request waits that was sent right after the loss.
PROBES = (50, 3000)
# A key that is not served this many seconds after a loss counts as not served again.
LONGEST_LOSS = 8.0
PARTS = 5
HTTP_OK = 200
MICROSECONDS = 1e6


class PathRun:
    """One system with everything that is measured on it.

    :param options: options of the run
    :param folder: empty folder
    """

    __slots__ = ("cluster", "folder", "loads", "options", "others", "restarts")

    def __init__(self, options: Options, folder: Path) -> None:
        self.options = options
        self.folder = folder
        self.cluster = Cluster(folder, ROOT, domains=("a",), entries=1, replicas=("a",))
        for number in range(SERVERS):
            self.cluster.add_servers(f"stock{number}", "a", "stock", 1, slots=SLOTS)
        self.cluster.add_servers("order", "a", "orders", 2, slots=SLOTS)
        self.loads = 0
        self.others: list[ChildProcess] = []
        #: How often the entry had to be started again because it answered no more enquiries.
        self.restarts = 0

    def run(self) -> list[Row]:
        """Measure everything and end all processes."""
        try:
            self.cluster.start()
            answer = self.cluster.send_change("measure", TABLES)
            assert answer.status == HTTP_OK, answer.body
            self._wait_until_owned()
            rows = [*self._throughput(), self._orders(), *self._losses(), *self._profile()]
            lock_ups = Row("entry restarts", "entry", {"restarts": self.restarts})
            return [*rows, lock_ups]
        finally:
            for each in self.others:
                if each.running:
                    each.kill()
            self.cluster.close()

    def _throughput(self) -> list[Row]:
        http_port = self.cluster.entries[0].http_port
        seconds = self.options.choose(2.0, 6.0)
        # The pass-through comes first, because the fences that it knows are of the first grants.
        port, bare = self._start_pass_through()
        full = {
            "pass-through": self._load_and_cpu(port, bare, seconds),
            "entry": self._load_and_cpu(http_port, self.cluster.entries[0].child, seconds),
        }
        full["entry"]["part_of_bare"] = full["entry"]["per_s"] / full["pass-through"]["per_s"]
        rate = full["entry"]["per_s"] / 2
        half = {"entry": self._load(http_port, seconds, rate)}
        bare.kill()
        port, bare = self._start_pass_through()
        half["pass-through"] = self._load(port, seconds, rate)
        bare.kill()
        half["server alone"] = direct = self._load_direct(seconds, rate)
        for name in ("entry", "pass-through"):
            for figure in ("p50_ms", "p99_ms"):
                half[name][f"added_{figure}"] = half[name][figure] - direct[figure]
        return [
            *(Row("enquiries, full load", name, figures) for name, figures in full.items()),
            *(Row("enquiries, half load", name, figures) for name, figures in half.items()),
        ]

    def _load_and_cpu(self, port: int, process: ChildProcess, seconds: float) -> dict[str, float]:
        before = _cpu_seconds(process)
        figures = self._load(port, seconds)
        used = _cpu_seconds(process) - before
        figures["cpu_us_per_request"] = MICROSECONDS * used / (figures["per_s"] * seconds)
        return figures

    def _orders(self) -> Row:
        seconds = self.options.choose(2.0, 5.0)
        http_port = self.cluster.entries[0].http_port
        figures = self._load(http_port, seconds, kind="order", connections=ORDER_CONNECTIONS)
        runs = self.cluster.executed_orders()
        figures["run_twice"] = len(runs) - len(set(runs))
        return Row("orders with idempotency key", "entry", figures)

    def _losses(self) -> list[Row]:
        """Lose servers one after the other, with an entry that has just started."""
        rows = []
        self._restart_entry()
        self.restarts -= 1
        for number in range(int(self.options.choose(1, SERVERS - 1))):
            owners = {key: self._server_of(key) for key in _keys(PROBED)}
            keys = [key for key, server in owners.items() if server == f"stock{number}-1"]
            if len(keys) < len(PROBES):
                raise RuntimeError(f"stock{number}-1 owns too few of the probed keys")
            self.cluster.groups[f"stock{number}"].process.kill()
            begin = time.perf_counter()
            with ThreadPoolExecutor(max_workers=len(keys)) as pool:
                deadlines = [PROBES[n % len(PROBES)] for n in range(len(keys))]
                times = list(pool.map(self._served_at, keys, deadlines))
            figures = {"keys": float(len(keys))}
            for n, deadline in enumerate(PROBES):
                figures[f"all_by_{deadline}_ms_requests_s"] = max(times[n :: len(PROBES)]) - begin
            rows.append(Row("loss of a server", f"loss {number + 1}", figures))
        return rows

    def _profile(self) -> list[Row]:
        """Run the entry under cProfile and return its most expensive parts."""
        entry = self.cluster.entries[0]
        path = self.folder / "entry.profile"
        entry.child.kill()
        entry.child.arguments[:0] = ["-m", "cProfile", "-o", str(path)]
        entry.child.start()
        self._wait_until_owned()
        figures = self._load(entry.http_port, self.options.choose(2.0, 5.0))
        entry.child.terminate()
        entry.child.wait()
        parts = parts_of(path)[:PARTS]
        rows = [Row("entry under cProfile", part, {"own_time_pct": own}) for part, own in parts]
        rows[0].figures["per_s"] = round(figures["per_s"], 1)
        return rows

    def _wait_until_owned(self) -> None:
        keys = _keys(PROBED)

        def owned() -> bool:
            return all(self._server_of(key) for key in keys)

        eventually("all probed keys are owned", owned)

    def _server_of(self, key: str, deadline_ms: int = PROBES[-1]) -> str:
        answer = self._enquire(key, deadline_ms)
        if answer is None or answer.status != HTTP_OK:
            return ""
        server: str = answer.json()["server"]
        return server

    def _enquire(self, key: str, deadline_ms: int = PROBES[-1]) -> HttpResponse | None:
        headers = {"Medlarpass-Deadline-Ms": str(deadline_ms)}
        return send_request(
            "GET", self.cluster.entries[0].http_port, f"/stock/{key}", headers=headers
        )

    def _served_at(self, key: str, deadline_ms: int) -> float:
        """Return when a key was served, or the time at which waiting ended."""
        give_up = time.perf_counter() + LONGEST_LOSS
        while time.perf_counter() < give_up:
            if self._server_of(key, deadline_ms):
                break
            time.sleep(PROBE_PAUSE)
        return time.perf_counter()

    def _targets(self) -> dict[str, tuple[int, dict[str, str]]]:
        """Return the port of the owning server and the headers of a granted request, by path."""
        ports = {
            identity: port
            for group in self.cluster.groups.values()
            for identity, port in group.ports_by_identity.items()
        }
        shards = {(shard_of("stock", key, SHARDS), "") for key in _keys(KEYS)}
        grants: dict[tuple[int, str], dict[str, Any]] = {}

        def known() -> bool:
            answer = send_request("GET", self.cluster.control[0].http_port, "/v1/grants?pool=stock")
            if answer is None or answer.status != HTTP_OK:
                return False
            found = answer.json()["grants"]
            grants.update({(each["shard"], each["key"] or ""): each for each in found})
            return shards <= grants.keys()

        eventually("control knows all grants", known)
        result = {}
        for key in _keys(KEYS):
            shard = shard_of("stock", key, SHARDS)
            grant = grants.get((shard, key), grants[shard, ""])
            fence = int(grant["fence"], 16)
            headers = {"Medlarpass-Shard": str(shard), "Medlarpass-Fence": str(fence)}
            result[f"/stock/{key}"] = (ports[grant["server"]], headers)
        return result

    def _start_pass_through(self) -> tuple[int, ChildProcess]:
        file = self.folder / "targets.json"
        targets = {
            path: (f"http://{LOOPBACK}:{port}", headers)
            for path, (port, headers) in self._targets().items()
        }
        file.write_text(json.dumps(targets), encoding="utf-8")
        port = self.cluster.ports.allocate()
        self.cluster.ports.release()
        arguments = ["-m", "tools.measure.pass_through", str(port), str(file)]
        process = ChildProcess("bare", arguments, ROOT, self.folder / "bare.log")
        self.others.append(process)
        process.start()
        eventually("the pass-through serves", lambda: send_request("GET", port, "/stock/roll-1"))
        return port, process

    def _load_direct(self, seconds: float, rate: float) -> dict[str, float]:
        """Load one server with its share of the rate, without anything in between."""
        port = self.cluster.groups["stock0"].ports_by_identity["stock0-1"]
        targets = self._targets()
        requests = [(path, headers) for path, (at, headers) in targets.items() if at == port]
        return self._load(port, seconds, rate / SERVERS, requests=requests)

    def _load(
        self,
        port: int,
        seconds: float,
        rate: float = 0.0,
        kind: str = "enquiry",
        connections: int = CONNECTIONS,
        requests: list[tuple[str, dict[str, str]]] | None = None,
    ) -> dict[str, float]:
        for _ in range(LOAD_TRIALS):
            figures = self._load_once(port, seconds, rate, kind, connections, requests)
            if figures["per_s"] >= LEAST_RATE:
                return figures
            self._restart_entry()
        raise RuntimeError(f"load on port {port} got no good answer: {figures}")

    def _restart_entry(self) -> None:
        self.restarts += 1
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
        connections: int = CONNECTIONS,
        requests: list[tuple[str, dict[str, str]]] | None = None,
    ) -> dict[str, float]:
        self.loads += 1
        path = self.folder / f"requests{self.loads}.json"
        path.write_text(json.dumps(requests or [(f"/stock/{key}", {}) for key in _keys(KEYS)]))
        spec = {
            "port": port,
            "connections": connections,
            "seconds": seconds,
            "rate": rate,
            "kind": kind,
            "requests": str(path),
            "seed": self.options.seed,
            "name": f"load{self.loads}",
        }
        output = self.folder / f"load{self.loads}.json"
        arguments = ["-m", "tools.measure.load_client", json.dumps(spec)]
        process = ChildProcess(f"load{self.loads}", arguments, ROOT, output)
        self.others.append(process)
        process.start()
        if process.wait() != 0:
            raise RuntimeError(f"load on port {port} failed: {process.log()}")
        figures: dict[str, float] = json.loads(process.log().splitlines()[-1])
        return figures


def _keys(count: int) -> list[str]:
    return [f"roll-{number}" for number in range(count)]


def _cpu_seconds(process: ChildProcess) -> float:
    """Return the processor time that a process has used, from proc(5)."""
    assert process.child is not None
    stat = Path(f"/proc/{process.child.pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@section("path", "Request path with real processes on loopback", is_timed=True)
def run(options: Options) -> list[Row]:
    """Start a system, measure it and end it."""
    with tempfile.TemporaryDirectory(prefix="medlarpass-measure-") as folder:
        return PathRun(options, Path(folder)).run()
