"""Guards against commands that change the wrong items or report a wrong result."""

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
def tables_file(tmp_path):
    path = tmp_path / "tables.yaml"
    path.write_text(json.dumps(TABLES))
    return path


async def test_apply_shows_differences_first_and_sends_one_change(
    run_command, backend, tables_file
) -> None:
    dry_run = await run_command("apply", tables_file, "--dry-run")
    assert dry_run.status == 0
    assert [line.split()[:3] for line in dry_run.out.splitlines()[1:]] == [
        ["pool", "stock", "create"],
        ["route", "stock", "create"],
    ]
    assert backend.state.tables.revision == 0
    assert (await run_command("apply", tables_file)).status == 0
    assert backend.state.tables.revision == 1
    assert len(backend.commands) == 1
    repeated = await run_command("apply", tables_file)
    assert repeated.status == 0
    assert len(backend.commands) == 1


async def test_apply_names_changed_keys(run_command, backend, tables_file) -> None:
    await run_command("apply", tables_file)
    tables_file.write_text(json.dumps({"pools": {"stock": {**STOCK_POOL, "moves_per_minute": 30}}}))
    dry_run = await run_command("apply", tables_file, "--dry-run", "--output", "json")
    (difference,) = json.loads(dry_run.out)["differences"]
    assert difference["differences"] == ["moves_per_minute: 60 -> 30"]
    assert (difference["action"], difference["version"]) == ("change", 1)
    assert (await run_command("apply", tables_file)).status == 0
    shown = json.loads((await run_command("show", "pool", "stock")).out)
    assert (shown["version"], shown["document"]["moves_per_minute"]) == (2, 30)


async def test_apply_deletes_only_with_prune(run_command, backend, tables_file) -> None:
    await run_command("apply", tables_file)
    tables_file.write_text(json.dumps({"pools": {"stock": STOCK_POOL}}))
    await run_command("apply", tables_file)
    assert len(backend.state.tables.items) == 2
    assert (await run_command("apply", tables_file, "--prune")).status == 0
    assert [key[1] for key in backend.state.tables.items] == ["stock"]


async def test_apply_concurrent_with_another_change_is_a_conflict(
    run_command, backend, tables_file, monkeypatch
) -> None:
    await run_command("apply", tables_file)
    tables_file.write_text(json.dumps({"pools": {"stock": {**STOCK_POOL, "moves_per_minute": 30}}}))
    propose = backend.propose
    concurrent_changes = []

    async def propose_after_concurrent_change(command):
        if not concurrent_changes:
            concurrent_changes.append(True)
            concurrent_change = type(command)()
            concurrent_change.CopyFrom(command)
            concurrent_change.apply_change.change_id = "other"
            concurrent_change.apply_change.items[0].document = json.dumps(
                {**STOCK_POOL, "moves_per_minute": 90}
            )
            await propose(concurrent_change)
        return await propose(command)

    monkeypatch.setattr(backend, "propose", propose_after_concurrent_change)
    result = await run_command("apply", tables_file)
    assert result.status == 3
    assert "version_conflict" in result.err
    shown = json.loads((await run_command("show", "pool", "stock")).out)
    assert shown["document"]["moves_per_minute"] == 90


async def test_put_list_show_delete(run_command, tmp_path) -> None:
    file = tmp_path / "stock.yaml"
    file.write_text("owned: true\nshards: 16\n")
    put = await run_command("put", "pool", "stock", file, "--expected-version", 0)
    assert (put.status, put.out.splitlines()[1].split()) == (0, ["pool", "stock", "1"])
    listed = await run_command("list", "pools")
    assert listed.out.splitlines()[1].split()[:4] == ["stock", "1", "yes", "16"]
    deleted = await run_command("delete", "pool", "stock", "--expected-version", 1)
    assert (deleted.status, deleted.out) == (0, "deleted pool stock\n")
    assert (await run_command("list", "pools")).out.count("\n") == 1


async def test_drain_and_undrain(run_command, backend) -> None:
    assert (await run_command("drain", "stock-1")).out == "stock-1 is drained\n"
    assert (await run_command("drains")).out == "SERVER\nstock-1\n"
    servers = (await run_command("servers")).out.splitlines()
    assert servers[1].split()[6] == "yes"
    assert (await run_command("undrain", "stock-1")).out == "stock-1 is in use\n"
    assert backend.state.tables.drained == set()


async def test_evacuate_and_return_domain(run_command, backend) -> None:
    """Guards against an evacuation of another domain, and one that no command shows."""
    assert (await run_command("evacuate", "north")).out == "north is evacuated\n"
    assert backend.state.tables.evacuated_domains == {"north"}
    await run_command("drain", "stock-1")
    shown = (await run_command("drains")).out
    assert shown == "SERVER\nstock-1\nEVACUATED DOMAIN\nnorth\n"
    document = json.loads((await run_command("drains", "--output", "json")).out)
    assert document == {"servers": ["stock-1"], "domains": ["north"]}
    assert (await run_command("return-domain", "north")).out == "north is in use\n"
    assert backend.state.tables.evacuated_domains == set()
    assert (await run_command("evacuate", "a b")).status == 1


async def test_reports_are_shown(run_command, backend, tables_file) -> None:
    await run_command("apply", tables_file)
    await run_command("drain", "stock-9")
    in_force = (await run_command("in-force")).out.splitlines()
    assert in_force[1].split() == ["north", "entry-1", "1", "1", "40"]
    grants = (await run_command("grants", "--pool", "stock")).out.splitlines()
    assert grants[1].split() == ["north", "stock", "3", "-", "stock-1", "2", "1000000000000000"]
    assert len(grants) == 2
    domains = (await run_command("domains")).out.splitlines()
    assert domains[1].split() == ["north", "entry-1", "3", "no", "1", "2"]
    audit = (await run_command("audit", "--after", 2)).out.splitlines()
    assert len(audit) == 2
    assert "drain stock-9" in audit[1]


async def test_replicas_are_added_replaced_and_removed(run_command, backend) -> None:
    location = ("--domain", "east", "--address", "127.0.0.1:7009")
    assert (await run_command("add-replica", "control-9", *location)).status == 0
    assert (await run_command("remove-replica", "r9")).status == 0
    assert (await run_command("replace-replica", "r2", "control-9", *location)).status == 0
    shown = (await run_command("replicas")).out.splitlines()
    assert [line.split()[1] for line in shown[1:]] == ["control-1", "control-9"]


async def test_control_characters_do_not_reach_the_terminal(run_command, backend) -> None:
    backend.reports[0].servers[0].identity = "a\x1b[2Jb"
    table = await run_command("servers")
    assert "\x1b" not in table.out
    assert "a\\x1b[2Jb" in table.out


async def test_check_accepts_good_files_and_names_errors(
    run_program, tables_file, tmp_path
) -> None:
    valid = await run_program("check", tables_file)
    assert (valid.status, valid.out.splitlines()[1].split()[1:]) == (0, ["tables", "ok"])
    settings = tmp_path / "entry.yaml"
    settings.write_text("name: entry-1\ncolour: red\n")
    invalid = await run_program("check", tables_file, settings, "--output", "json")
    assert invalid.status == 2
    files = json.loads(invalid.out)["files"]
    assert [file["kind"] for file in files] == ["tables", "settings"]
    assert files[1]["result"].startswith(f"{settings}: ")


INVALID_TABLES = [
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
    ("text", "expected_text"),
    [row[1:] for row in INVALID_TABLES],
    ids=[row[0] for row in INVALID_TABLES],
)
@pytest.mark.parametrize("command", ["check", "apply"])
async def test_invalid_table_file_is_refused_before_anything_is_sent(
    run_command, backend, tmp_path, command, text, expected_text
) -> None:
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    result = await run_command(command, path)
    assert result.status == 2
    assert expected_text in result.err + result.out
    assert "bad.yaml" in result.err
    assert not backend.commands


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
async def test_each_command_has_help_with_examples(run_program, command) -> None:
    shown = await run_program(command.name, "--help")
    assert shown.status == 0
    assert "examples:" in shown.out
    assert f" {command.name}" in shown.out.partition("examples:")[2]


def test_program_starts_as_a_module() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "medlarpass_cli", "--help"],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert process.returncode == 0
    assert "exit statuses:" in process.stdout
