"""A whole system of real processes on loopback."""

from __future__ import annotations

import json

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import yaml

from tools.bench.http_call import HttpAnswer
from tools.bench.http_call import call
from tools.bench.ports import LOOPBACK
from tools.bench.ports import PortPool
from tools.bench.process import ChildProcess
from tools.bench.process import eventually
from tools.bench.relay import RelayNetwork

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

#: Failure domains of the control replicas, in the usual layout.
FIVE_REPLICAS = ("a", "a", "b", "b", "c")


class Node:
    """A process of the system with its ports.

    :param name: name in the settings
    :param domain: failure domain
    :param role: ``entry`` or ``control``
    :param ports: where free ports come from
    """

    def __init__(self, name: str, domain: str, role: str, ports: PortPool) -> None:
        self.name = name
        self.domain = domain
        self.role = role
        self.rpc = ports.take()
        self.platform = ports.take()
        #: Callers' port of an entry, operators' port of a control replica.
        self.front = ports.take()
        self.servers = ports.take()
        self.process: ChildProcess | None = None

    @property
    def child(self) -> ChildProcess:
        """The process, which must have been created."""
        assert self.process is not None
        return self.process


class StandinGroup:
    """Stand-in servers that share a process.

    :param name: name of the group
    :param domain: failure domain
    :param pool: pool that they serve
    :param identities: identities and ports of the servers
    :param process: the process
    """

    def __init__(
        self,
        name: str,
        domain: str,
        pool: str,
        identities: dict[str, int],
        process: ChildProcess,
    ) -> None:
        self.name = name
        self.domain = domain
        self.pool = pool
        self.identities = identities
        self.process = process


class Cluster:
    """Entries, control replicas and stand-in servers.

    :param folder: empty folder for settings, data and logs
    :param root: root of the repository
    :param domains: names of the failure domains
    :param entries: entries in each domain
    :param replicas: domain of each control replica
    :param timing: settings of the role entry that differ from the defaults
    """

    def __init__(
        self,
        folder: Path,
        root: Path,
        domains: Sequence[str] = ("a", "b", "c"),
        entries: int = 3,
        replicas: Sequence[str] = FIVE_REPLICAS,
        timing: dict[str, Any] | None = None,
    ) -> None:
        self.folder = folder
        self.root = root
        self.domains = list(domains)
        self.timing = timing or {}
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
        self.journal = folder / "orders.journal"
        self.journal.touch()
        #: Accepted enquiries, downloads and changes of grants.
        self.ownership_journal = folder / "ownership.journal"
        self.ownership_journal.touch()

    @property
    def nodes(self) -> list[Node]:
        """All processes of the system."""
        return [*self.control, *self.entries]

    def add_servers(self, name: str, domain: str, pool: str, count: int, **options: object) -> None:
        """Prepare stand-in servers; call it before :meth:`start`.

        :param name: name of the group and first part of the identities
        :param options: further options of the stand-in, for example ``work_ms``
        """
        identities = {f"{name}-{number}": self.ports.take() for number in range(1, count + 1)}
        arguments = ["-m", "examples.standin", "--domain", domain, "--pool", pool]
        arguments += ["--journal", str(self.journal)]
        arguments += ["--ownership-journal", str(self.ownership_journal)]
        for identity, port in identities.items():
            arguments += ["--server", f"{identity}={port}"]
        for entry in self.entries:
            if entry.domain == domain:
                arguments += ["--entry", f"http://{LOOPBACK}:{entry.servers}"]
        for option, value in options.items():
            arguments += [f"--{option.replace('_', '-')}", str(value)]
        process = ChildProcess(name, arguments, self.root, self.folder / f"{name}.log")
        self.groups[name] = StandinGroup(name, domain, pool, identities, process)

    def start(self) -> None:
        """Start everything and wait until the control log has a leader and every replica answers.

        A majority may elect the leader while another replica still starts, and calls go to any.
        """
        for node in self.nodes:
            self._prepare(node)
        self.ports.release()
        for node in self.nodes:
            node.child.start()
        eventually("a control leader is elected", self.leader)
        eventually("all control replicas answer", self.all_answer)
        for group in self.groups.values():
            group.process.start()

    def close(self) -> None:
        """End all processes and relays."""
        children = [node.process for node in self.nodes if node.process]
        children += [group.process for group in self.groups.values()]
        for child in children:
            if child.running:
                child.kill()
        self.relays.close()

    def node(self, name: str) -> Node:
        """Return a process of the system by its name."""
        return next(node for node in self.nodes if node.name == name)

    def leader(self) -> Node | None:
        """Return the control leader, if one is known."""
        for node in self.control:
            if not node.child.running:
                continue
            answer = call("GET", node.front, "/v1/replicas", timeout=2)
            if answer is None or answer.status != 200:
                continue
            for replica in answer.json()["replicas"]:
                if replica["status"] and replica["status"]["role"] == "leader":
                    return next(each for each in self.control if each.name == replica["name"])
        return None

    def all_answer(self) -> bool:
        """Return whether each control replica answers operators."""
        answers = [call("GET", node.front, "/v1/replicas", timeout=2) for node in self.control]
        return all(answer is not None and answer.status == 200 for answer in answers)

    def change(
        self, change_id: str, items: list[dict[str, Any]], node: Node | None = None
    ) -> HttpAnswer:
        """Send a change of the tables to a control replica.

        :param items: items of the change
        :param node: replica to call, or the first running one
        """
        target = node or next(each for each in self.control if each.child.running)
        body = json.dumps({"change_id": change_id, "items": items}).encode()
        answer = call("POST", target.front, "/v1/changes", body, timeout=10)
        assert answer is not None, f"{target.name} did not answer"
        return answer

    def in_force(self) -> dict[str, int]:
        """Return the revision in force by place, as one control replica reports it."""
        for node in self.control:
            answer = call("GET", node.front, "/v1/in-force", timeout=2)
            if answer is not None and answer.status == 200:
                places = answer.json()["places"]
                return {place["place"]: place["revision"] for place in places}
        return {}

    def orders_run(self) -> list[str]:
        """Return the ids of all orders that any stand-in server ran."""
        return [run["order"] for run in read_journal(self.journal)]

    def ownership_events(self) -> list[dict[str, Any]]:
        """Return what the stand-in servers wrote about enquiries, downloads and grants."""
        return read_journal(self.ownership_journal)

    def of_domain(self, domain: str) -> list[Node]:
        """Return the entries of a failure domain."""
        return [entry for entry in self.entries if entry.domain == domain]

    def report(self, what: str) -> list[dict[str, Any]]:
        """Return a list of the operators' interface from the first replica that answers.

        :param what: ``servers``, ``grants``, ``domains``, ``replicas`` or ``audit``
        """
        for node in self.control:
            answer = call("GET", node.front, f"/v1/{what}", timeout=3)
            if answer is not None and answer.status == 200:
                return list(answer.json()[what])
        return []

    def coordinator(self, domain: str) -> Node | None:
        """Return the entry that holds the coordinator lease of a domain, as last reported."""
        for report in self.report("domains"):
            if report["domain"] == domain and report["coordinator"]:
                return self.node(report["coordinator"])
        return None

    def group_of(self, identity: str) -> StandinGroup:
        """Return the process of a stand-in server."""
        return next(group for group in self.groups.values() if identity in group.identities)

    def send(
        self, method: str, path: str, document: dict[str, Any], timeout: float = 10
    ) -> HttpAnswer:
        """Send a change to the operators' interface of any running replica."""
        body = json.dumps(document).encode()
        for node in self.control:
            if node.child.running:
                answer = call(method, node.front, path, body, timeout=timeout)
                if answer is not None:
                    return answer
        raise AssertionError(f"no control replica answered {method} {path}")

    def _prepare(self, node: Node) -> None:
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
            "rpc": _listener(node.rpc),
            "platform": _listener(node.platform),
            "security": {
                "between_processes": {"mode": "unauthenticated"},
                "operators": {"mode": "unauthenticated"},
            },
            "address_translation": self._translation(node),
        }
        if node.role == "control":
            settings["control"] = {
                "operators": _listener(node.front),
                "data_folder": str(self.folder / f"{node.name}.data"),
                "replicas": [_member(each) for each in self.control],
            }
            return settings
        settings["entry"] = {
            "callers": _listener(node.front),
            "servers": _listener(node.servers),
            "peers": [_member(each) for each in self.entries],
            "control": [_endpoint(each.rpc) for each in self.control],
            **self.timing,
        }
        return settings

    def _translation(self, node: Node) -> list[dict[str, str]]:
        """Return the relays that traffic from a process to other domains goes through."""
        targets = [(each.domain, each.rpc) for each in self.nodes]
        for group in self.groups.values():
            targets += [(group.domain, port) for port in group.identities.values()]
        return [
            {
                "address": _endpoint(port),
                "via": _endpoint(self.relays.add(node.domain, domain, port)),
            }
            for domain, port in targets
            if domain != node.domain
        ]


def read_journal(path: Path) -> list[dict[str, Any]]:
    """Return the whole lines of a journal; a killed process may leave a torn one."""
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
    return {"name": node.name, "domain": node.domain, "address": _endpoint(node.rpc)}
