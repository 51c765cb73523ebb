"""Tests that the reference documents list exactly the settings, errors and events of the code."""

from __future__ import annotations

import argparse
import re

from collections import defaultdict

import pytest

from tools.documents import rows

#: Commands that the page may mention without arguments.
COMMANDS_WITHOUT_ARGUMENTS = {"check"}


@pytest.mark.parametrize(("document", "heading"), list(rows.TABLES))
def test_document_lists_what_the_code_has(document: str, heading: str) -> None:
    differences = rows.differences(document, heading)
    assert not differences, f"{document}, {heading}:\n" + "\n".join(differences)


def test_each_error_has_a_code_of_its_own() -> None:
    by_code = defaultdict(list)
    for error in rows.error_classes():
        by_code[error.code].append(error.__name__)
    shared = {code: names for code, names in by_code.items() if len(names) > 1}
    assert not shared


def test_each_event_has_a_number_and_a_name_of_its_own() -> None:
    by_number = defaultdict(list)
    by_name = defaultdict(list)
    for event in rows.events():
        by_number[event.number].append(event.name)
        by_name[event.name].append(event.number)
    assert not {number: names for number, names in by_number.items() if len(names) > 1}
    assert not {name: numbers for name, numbers in by_name.items() if len(numbers) > 1}


def test_event_names_have_one_form() -> None:
    """Guards against hyphens in names, because a search would then need two spellings."""
    invalid_names = [e.name for e in rows.events() if not re.fullmatch(r"[a-z]+(_[a-z]+)*", e.name)]
    assert not invalid_names


def test_each_event_is_logged_somewhere() -> None:
    """Guards against documented events that are never logged."""
    unused = [
        f"{module}.{name}"
        for module, name in rows.event_constants()
        if not rows.is_used(module, name)
    ]
    assert not unused


def test_operations_page_uses_existing_commands_and_names_all() -> None:
    """Guards against commands on the operations page that fail with a usage error."""
    from medlarpass_cli.commands import COMMANDS

    text = (rows.ROOT / "docs/OPERATIONS.md").read_text()
    lines = [call for call in re.findall(r"`medlarpass ([^`]+)`", text) if call[0].islower()]
    lines += re.findall(r"^\$ medlarpass --control \S+ (.+)$", text, re.M)
    by_name = {command.name: command for command in COMMANDS}
    used = {line.split()[0] for line in lines}
    assert used == set(by_name)
    for line in lines:
        name, *arguments = line.split()
        parser = argparse.ArgumentParser(prog=name, exit_on_error=False, allow_abbrev=False)
        by_name[name].add_arguments(parser)
        if arguments or name not in COMMANDS_WITHOUT_ARGUMENTS:
            parser.parse_args(arguments)


@pytest.mark.parametrize(
    ("edit", "expected_lines"),
    [
        (lambda text: text.replace("| `703`", "| `799`"), ["missing: | `703`", "extra: 799"]),
        (lambda text: text + "| `703` | twice | - | - |\n", ["twice: 703"]),
        (
            lambda text: text.replace("operators_stopped |", "operators_ended |"),
            ["different: | `701` | operators_ended | should be | `701` | operators_stopped |"],
        ),
        (
            lambda text: text.replace("the operators' interface has stopped", ""),
            ["not explained: | `701`"],
        ),
    ],
    ids=["missing and extra", "twice", "different", "not explained"],
)
def test_difference_is_named(tmp_path, monkeypatch, edit, expected_lines) -> None:
    text = (rows.ROOT / "docs/events.md").read_text()
    (tmp_path / "docs").mkdir()
    (tmp_path / "docs/events.md").write_text(edit(text))
    monkeypatch.setattr(rows, "ROOT", tmp_path)
    differences = "\n".join(rows.differences("docs/events.md", "Events"))
    for line in expected_lines:
        assert line in differences
