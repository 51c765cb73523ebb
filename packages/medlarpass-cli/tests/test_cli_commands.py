"""Guards against commands that change the wrong thing or report a wrong result."""

from __future__ import annotations

import json
import os
import subprocess
import sys

import pytest

from operators_fakes import STOCK_POOL
from operators_fakes import STOCK_ROUTE

from medlarpass_cli.commands import COMMANDS

TABLES = {"pools": {"stock": STOCK_POOL}, "routes": {"stock": STOCK_ROUTE}}


@pytest.fixture
def tables(tmp_path):
    path = tmp_path / "tables.yaml"
    path.write_text(json.dumps(TABLES))
    return path


async def test_apply_shows_differences_first_and_sends_one_change(operate, backend, tables) -> None:
    dry = await operate("apply", tables, "--dry-run")
    assert dry.status == 0
    assert [line.split()[:3] for line in dry.out.splitlines()[1:]] == [
        ["pool", "stock", "create"],
        ["route", "stock", "create"],
    ]
    assert backend.state.tables.revision == 0
    assert (await operate("apply", tables)).status == 0
    assert backend.state.tables.revision == 1
    assert len(backend.commands) == 1
    again = await operate("apply", tables)
    assert again.status == 0
    assert len(backend.commands) == 1


async def test_apply_names_changed_keys(operate, backend, tables) -> None:
    await operate("apply", tables)
    tables.write_text(json.dumps({"pools": {"stock": {**STOCK_POOL, "moves_per_minute": 30}}}))
    dry = await operate("apply", tables, "--dry-run", "--output", "json")
    (difference,) = json.loads(dry.out)["differences"]
    assert difference["differences"] == ["moves_per_minute: 60 -> 30"]
    assert (difference["action"], difference["version"]) == ("change", 1)
    assert (await operate("apply", tables)).status == 0
    shown = json.loads((await operate("show", "pool", "stock")).out)
    assert (shown["version"], shown["document"]["moves_per_minute"]) == (2, 30)


async def test_apply_deletes_only_with_prune(operate, backend, tables) -> None:
    await operate("apply", tables)
    tables.write_text(json.dumps({"pools": {"stock": STOCK_POOL}}))
    await operate("apply", tables)
    assert len(backend.state.tables.items) == 2
    assert (await operate("apply", tables, "--prune")).status == 0
    assert [key[1] for key in backend.state.tables.items] == ["stock"]


async def test_apply_that_races_with_another_change_is_a_conflict(
    operate, backend, tables, monkeypatch
) -> None:
    await operate("apply", tables)
    tables.write_text(json.dumps({"pools": {"stock": {**STOCK_POOL, "moves_per_minute": 30}}}))
    propose = backend.propose
    raced = []

    async def race(command):
        if not raced:
            raced.append(True)
            other = type(command)()
            other.CopyFrom(command)
            other.apply_change.change_id = "other"
            other.apply_change.items[0].document = json.dumps(
                {**STOCK_POOL, "moves_per_minute": 90}
            )
            await propose(other)
        return await propose(command)

    monkeypatch.setattr(backend, "propose", race)
    answer = await operate("apply", tables)
    assert answer.status == 3
    assert "version_conflict" in answer.err
    shown = json.loads((await operate("show", "pool", "stock")).out)
    assert shown["document"]["moves_per_minute"] == 90


async def test_put_list_show_delete(operate, tmp_path) -> None:
    file = tmp_path / "stock.yaml"
    file.write_text("owned: true\nshards: 16\n")
    put = await operate("put", "pool", "stock", file, "--expected-version", 0)
    assert (put.status, put.out.splitlines()[1].split()) == (0, ["pool", "stock", "1"])
    listed = await operate("list", "pools")
    assert listed.out.splitlines()[1].split()[:4] == ["stock", "1", "yes", "16"]
    deleted = await operate("delete", "pool", "stock", "--expected-version", 1)
    assert (deleted.status, deleted.out) == (0, "deleted pool stock\n")
    assert (await operate("list", "pools")).out.count("\n") == 1


async def test_drain_and_undrain(operate, backend) -> None:
    assert (await operate("drain", "stock-1")).out == "stock-1 is drained\n"
    assert (await operate("drains")).out == "SERVER\nstock-1\n"
    servers = (await operate("servers")).out.splitlines()
    assert servers[1].split()[6] == "yes"
    assert (await operate("undrain", "stock-1")).out == "stock-1 is in use\n"
    assert backend.state.tables.drained == set()


async def test_reports_are_shown(operate, backend, tables) -> None:
    await operate("apply", tables)
    await operate("drain", "stock-9")
    in_force = (await operate("in-force")).out.splitlines()
    assert in_force[1].split() == ["north", "entry-1", "1", "1", "40"]
    grants = (await operate("grants", "--pool", "stock")).out.splitlines()
    assert grants[1].split() == ["north", "stock", "3", "-", "stock-1", "2", "1000000000000000"]
    assert len(grants) == 2
    domains = (await operate("domains")).out.splitlines()
    assert domains[1].split() == ["north", "entry-1", "3", "no", "1", "2"]
    audit = (await operate("audit", "--after", 2)).out.splitlines()
    assert len(audit) == 2
    assert "drain stock-9" in audit[1]


async def test_replicas_are_added_replaced_and_removed(operate, backend) -> None:
    place = ("--domain", "east", "--address", "127.0.0.1:7009")
    assert (await operate("add-replica", "control-9", *place)).status == 0
    assert (await operate("remove-replica", "r9")).status == 0
    assert (await operate("replace-replica", "r2", "control-9", *place)).status == 0
    shown = (await operate("replicas")).out.splitlines()
    assert [line.split()[1] for line in shown[1:]] == ["control-1", "control-9"]


async def test_control_characters_do_not_reach_the_terminal(operate, backend) -> None:
    backend.reports[0].servers[0].identity = "a\x1b[2Jb"
    table = await operate("servers")
    assert "\x1b" not in table.out
    assert "a\\x1b[2Jb" in table.out


async def test_check_accepts_good_files_and_names_faults(program, tables, tmp_path) -> None:
    good = await program("check", tables)
    assert (good.status, good.out.splitlines()[1].split()[1:]) == (0, ["tables", "ok"])
    settings = tmp_path / "entry.yaml"
    settings.write_text("name: entry-1\ncolour: red\n")
    bad = await program("check", tables, settings, "--output", "json")
    assert bad.status == 2
    files = json.loads(bad.out)["files"]
    assert [file["kind"] for file in files] == ["tables", "settings"]
    assert files[1]["result"].startswith(f"{settings}: ")


BAD_TABLES = [
    ("unknown section", "pools: {}\nservers: {}\n", "servers"),
    ("unknown key", "pools: {stock: {colour: red}}\n", "colour"),
    ("wrong type", "pools: {stock: {shards: many}}\n", "shards"),
    ("list of pools", "pools: [stock]\n", "pools"),
    ("name twice", "pools: {stock: {}, stock: {}}\n", "repeated key"),
    ("number as name", "pools: {7: {}}\n", "7"),
    ("no YAML", "pools: {\n", "YAML"),
    ("same requests twice", json.dumps({"routes": {"a": STOCK_ROUTE, "b": STOCK_ROUTE}}), "b"),
]


@pytest.mark.parametrize(
    ("text", "named"), [row[1:] for row in BAD_TABLES], ids=[row[0] for row in BAD_TABLES]
)
@pytest.mark.parametrize("command", ["check", "apply"])
async def test_bad_table_file_is_refused_before_anything_is_sent(
    operate, backend, tmp_path, command, text, named
) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    answer = await operate(command, path)
    assert answer.status == 2
    assert named in answer.err + answer.out
    assert "bad.yaml" in answer.err
    assert not backend.commands


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
async def test_each_command_has_help_with_examples(program, command) -> None:
    shown = await program(command.name, "--help")
    assert shown.status == 0
    assert "examples:" in shown.out
    assert f" {command.name}" in shown.out.partition("examples:")[2]


def test_program_starts_as_a_module() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "medlarpass_cli", "--help"],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert done.returncode == 0
    assert "exit statuses:" in done.stdout
