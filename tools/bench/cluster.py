"""A complete system of real processes on loopback."""

from __future__ import annotations

import json

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import yaml

from tools.bench.http_client import HttpResponse
from tools.bench.http_client import send_request
from tools.bench.ports import LOOPBACK
from tools.bench.ports import PortPool
from tools.bench.process import ChildProcess
from tools.bench.process import eventually
from tools.bench.relay import RelayNetwork

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

#: Failure domains of the control replicas in the default layout.
DEFAULT_REPLICA_DOMAINS = ("a", "a", "b", "b", "c")


class Node:
    """An entry or control process and its ports.

    :param name: name in the settings
    :param domain: failure domain
    :param role: ``entry`` or ``control``
    :param ports: pool that allocates the ports
    """

    def __init__(self, name: str, domain: str, role: str, ports: PortPool) -> None:
        self.name = name
        self.domain = domain
        self.role = role
        self.rpc_port = ports.allocate()
        self.platform_port = ports.allocate()
        #: Callers' port of an entry, operators' port of a control replica.
        self.http_port = ports.allocate()
        self.servers_port = ports.allocate()
        self.process: ChildProcess | None = None

    @property
    def child(self) -> ChildProcess:
        """The process; :meth:`Cluster.start` must have created it."""
        assert self.process is not None
        return self.process


class StandinGroup:
    """Stand-in servers that run in one process.

    :param name: name of the group
    :param domain: failure domain
    :param pool: pool of the servers
    :param ports_by_identity: port of each server, by identity
    :param process: process that runs the servers
    """

    def __init__(
        self,
        name: str,
        domain: str,
        pool: str,
        ports_by_identity: dict[str, int],
        process: ChildProcess,
    ) -> None:
        self.name = name
        self.domain = domain
        self.pool = pool
        self.ports_by_identity = ports_by_identity
        self.process = process


class Cluster:
    """Entries, control replicas and stand-in servers.

    :param folder: empty folder for settings, data and logs
    :param root: root of the repository
    :param domains: names of the failure domains
    :param entries: entries in each domain
    :param replicas: domain of each control replica
    :param entry_settings: settings of the role entry that differ from the defaults
    """

    def __init__(
        self,
        folder: Path,
        root: Path,
        domains: Sequence[str] = ("a", "b", "c"),
        entries: int = 3,
        replicas: Sequence[str] = DEFAULT_REPLICA_DOMAINS,
        entry_settings: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.root = root
        self.domains = list(domains)
        self.entry_settings = entry_settings or {}
        self.ports = PortPool()
        self.relays = RelayNetwork()
        self.control = [
            Node(f"control-{domain}{number}", domain, "control", self.ports)
            for number, domain in enumerate(replicas, start=1)
        ]
        self.entries = [
            Node(f"entry-{domain}{number}", domain, "entry", self.ports)
            for domain in domains
            for number in range(1, entries + 1)
        ]
        self.groups: dict[str, StandinGroup] = {}
        self.order_journal = folder / "orders.journal"
        self.order_journal.touch()
        #: File with accepted enquiries, downloads and changes of grants.
        self.ownership_journal = folder / "ownership.journal"
        self.ownership_journal.touch()

    @property
    def nodes(self) -> list[Node]:
        """All entries and control replicas."""
        return [*self.control, *self.entries]

    def add_servers(self, name: str, domain: str, pool: str, count: int, **options: object) -> None:
        """Add a process with stand-in servers; call this before :meth:`start`.

        :param name: name of the group and prefix of the identities
        :param options: further options of the stand-in, for example ``work_ms``
        """
        ports_by_identity = {
            f"{name}-{number}": self.ports.allocate() for number in range(1, count + 1)
        }
        arguments = ["-m", "examples.standin", "--domain", domain, "--pool", pool]
        arguments += ["--journal", str(self.order_journal)]
        arguments += ["--ownership-journal", str(self.ownership_journal)]
        for identity, port in ports_by_identity.items():
            arguments += ["--server", f"{identity}={port}"]
        for entry in self.entries:
            if entry.domain == domain:
                arguments += ["--entry", f"http://{LOOPBACK}:{entry.servers_port}"]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = ChildProcess(name, arguments, self.root, self.folder / f"{name}.log")
        self.groups[name] = StandinGroup(name, domain, pool, ports_by_identity, process)

    def start(self) -> None:
        """Start all processes and wait for a control leader and for a response from each replica.

        A majority may elect a leader while other replicas are still starting, and tests may call
        any replica.
        """
        for node in self.nodes:
            self._prepare_node(node)
        self.ports.release()
        for node in self.nodes:
            node.child.start()
        eventually("a control leader is elected", self.leader)
        eventually("all control replicas respond", self.all_replicas_respond)
        for group in self.groups.values():
            group.process.start()

    def close(self) -> None:
        """Kill all processes and close the relays."""
        children = [node.process for node in self.nodes if node.process]
        children += [group.process for group in self.groups.values()]
        for child in children:
            if child.running:
                child.kill()
        self.relays.close()

    def node(self, name: str) -> Node:
        """Return an entry or control replica by its name."""
        return next(node for node in self.nodes if node.name == name)

    def leader(self) -> Node | None:
        """Return the control leader, if one is known."""
        for node in self.control:
            if not node.child.running:
                continue
            response = send_request("GET", node.http_port, "/v1/replicas", timeout=2)
            if response is None or response.status != 200:
                continue
            for replica in response.json()["replicas"]:
                if replica["status"] and replica["status"]["role"] == "leader":
                    return next(
                        candidate for candidate in self.control if candidate.name == replica["name"]
                    )
        return None

    def all_replicas_respond(self) -> bool:
        """Return whether each control replica responds to an API request."""
        responses = [
            send_request("GET", node.http_port, "/v1/replicas", timeout=2) for node in self.control
        ]
        return all(response is not None and response.status == 200 for response in responses)

    def send_change(
        self, change_id: str, items: list[dict[str, Any]], node: Node | None = None
    ) -> HttpResponse:
        """Send a change of the tables to a control replica.

        :param items: items of the change
        :param node: replica that receives the request, by default the first running one
        """
        target = node or next(candidate for candidate in self.control if candidate.child.running)
        body = json.dumps({"change_id": change_id, "items": items}).encode()
        response = send_request("POST", target.http_port, "/v1/changes", body, timeout=10)
        assert response is not None, f"{target.name} did not respond"
        return response

    def revisions_in_force(self) -> dict[str, int]:
        """Return the revision in force by process, as reported by one control replica."""
        for node in self.control:
            response = send_request("GET", node.http_port, "/v1/in-force", timeout=2)
            if response is not None and response.status == 200:
                places = response.json()["places"]
                return {place["place"]: place["revision"] for place in places}
        return {}

    def executed_orders(self) -> list[str]:
        """Return the ids of all orders that the stand-in servers ran."""
        return [run["order"] for run in read_journal(self.order_journal)]

    def ownership_events(self) -> list[dict[str, Any]]:
        """Return the recorded enquiries, downloads and changes of grants of all servers."""
        return read_journal(self.ownership_journal)

    def entries_of_domain(self, domain: str) -> list[Node]:
        """Return the entries of a failure domain."""
        return [entry for entry in self.entries if entry.domain == domain]

    def fetch_report(self, kind: str) -> list[dict[str, Any]]:
        """Return a list of the operators' API from the first replica that responds.

        :param kind: ``servers``, ``grants``, ``domains``, ``replicas`` or ``audit``
        """
        for node in self.control:
            response = send_request("GET", node.http_port, f"/v1/{kind}", timeout=3)
            if response is not None and response.status == 200:
                return list(response.json()[kind])
        return []

    def coordinator(self, domain: str) -> Node | None:
        """Return the entry that holds the coordinator lease of a domain, as last reported."""
        for report in self.fetch_report("domains"):
            if report["domain"] == domain and report["coordinator"]:
                return self.node(report["coordinator"])
        return None

    def group_of(self, identity: str) -> StandinGroup:
        """Return the group of a stand-in server."""
        return next(group for group in self.groups.values() if identity in group.ports_by_identity)

    def send_change_to_any(
        self, method: str, path: str, document: dict[str, Any], timeout: float = 10
    ) -> HttpResponse:
        """Send a change to the operators' API of the first running replica that responds."""
        body = json.dumps(document).encode()
        for node in self.control:
            if node.child.running:
                response = send_request(method, node.http_port, path, body, timeout=timeout)
                if response is not None:
                    return response
        raise AssertionError(f"no control replica responded to {method} {path}")

    def _prepare_node(self, node: Node) -> None:
        path = self.folder / f"{node.name}.yaml"
        path.write_text(yaml.safe_dump(self._settings(node)), encoding="utf-8")
        arguments = ["-m", "medlarpass_daemon", "--settings", str(path)]
        output = self.folder / f"{node.name}.log"
        if node.role == "control":
            initial = ChildProcess(node.name, [*arguments, "--initialise"], self.root, output)
            initial.start()
            assert initial.wait() == 0, initial.log()
        node.process = ChildProcess(node.name, arguments, self.root, output)

    def _settings(self, node: Node) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "name": node.name,
            "domain": node.domain,
            "roles": [node.role],
            "rpc": _listener(node.rpc_port),
            "platform": _listener(node.platform_port),
            "security": {
                "between_processes": {"mode": "unauthenticated"},
                "operators": {"mode": "unauthenticated"},
            },
            "address_translation": self._relay_addresses(node),
        }
        if node.role == "control":
            settings["control"] = {
                "operators": _listener(node.http_port),
                "data_folder": str(self.folder / f"{node.name}.data"),
                "replicas": [_member(other) for other in self.control],
            }
            return settings
        settings["entry"] = {
            "callers": _listener(node.http_port),
            "servers": _listener(node.servers_port),
            "peers": [_member(other) for other in self.entries],
            "control": [_endpoint(other.rpc_port) for other in self.control],
            **self.entry_settings,
        }
        return settings

    def _relay_addresses(self, node: Node) -> list[dict[str, str]]:
        """Return the relay address for each process of another domain."""
        targets = [(other.domain, other.rpc_port) for other in self.nodes]
        for group in self.groups.values():
            targets += [(group.domain, port) for port in group.ports_by_identity.values()]
        return [
            {
                "address": _endpoint(port),
                "via": _endpoint(self.relays.add(node.domain, domain, port)),
            }
            for domain, port in targets
            if domain != node.domain
        ]


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the events of a journal, without incomplete lines that a killed process left."""
    entries = []
    for line in path.read_text(encoding="utf-8").split("\n")[:-1]:
        with suppress(ValueError):
            entries.append(json.loads(line))
    return entries


def _listener(port: int) -> dict[str, Any]:
    return {"ip": LOOPBACK, "port": port}


def _endpoint(port: int) -> str:
    return f"{LOOPBACK}:{port}"


def _member(node: Node) -> dict[str, Any]:
    return {"name": node.name, "domain": node.domain, "address": _endpoint(node.rpc_port)}
