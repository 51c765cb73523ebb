"""Command ``apply``."""

from __future__ import annotations

import json

from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from medlarpass_cli.command import add_change_id_option
from medlarpass_cli.command import change_id_from
from medlarpass_cli.tables_file import load_tables

if TYPE_CHECKING:
    import argparse

    from medlarpass_cli.client import ControlClient
    from medlarpass_cli.command import Context
    from medlarpass_cli.tables_file import Tables


COLUMNS = ["kind", "name", "action", "version", "differences"]


class Apply:
    """Changes the routes and pools to those of a file, in one change."""

    name = "apply"
    summary = "apply a file of routes and pools in one change"
    examples = (
        "medlarpass --control http://127.0.0.1:7400 apply tables.yaml --dry-run\n"
        "medlarpass --control http://127.0.0.1:7400 apply tables.yaml"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the arguments of the command."""
        parser.add_argument("file", type=Path, metavar="FILE")
        parser.add_argument(
            "--dry-run", action="store_true", help="only show what would be changed"
        )
        parser.add_argument(
            "--prune", action="store_true", help="delete the items that the file does not name"
        )
        add_change_id_option(parser)

    async def run(self, context: Context) -> None:
        """Compare the file with the current tables and send the differences.

        The change carries the versions that were read, so that a concurrent change by another
        operator leads to a conflict.
        """
        arguments = context.arguments
        desired = load_tables(arguments.file)
        client = context.client()
        current = await _read_current_items(client)
        differences = _find_differences(desired, current, arguments.prune)
        if arguments.dry_run or not differences:
            document = {"dry_run": arguments.dry_run, "differences": differences}
            context.output.write_rows(COLUMNS, differences, document)
            return
        body = {"items": [_create_item_change(difference) for difference in differences]}
        response = await client.send_change("POST", "/v1/changes", body, change_id_from(arguments))
        context.output.write_rows(COLUMNS, differences, {**response, "differences": differences})


async def _read_current_items(client: ControlClient) -> dict[tuple[str, str], dict[str, Any]]:
    items = []
    for table in ("pools", "routes"):
        items += (await client.read(f"/v1/{table}"))["items"]
    return {(item["kind"], item["name"]): item for item in items}


def _find_differences(
    desired: Tables, current: dict[tuple[str, str], dict[str, Any]], prune: bool
) -> list[dict[str, Any]]:
    differences = []
    for (kind, name), document in desired.items():
        item = current.get((kind, name))
        if item is None:
            differences.append(_create_difference(kind, name, "create", 0, None, document))
        elif item["document"] != document:
            before = item["document"]
            differences.append(
                _create_difference(kind, name, "change", item["version"], before, document)
            )
    if prune:
        differences += [
            _create_difference(kind, name, "delete", item["version"], item["document"], None)
            for (kind, name), item in current.items()
            if (kind, name) not in desired
        ]
    return differences


def _create_difference(
    kind: str,
    name: str,
    action: str,
    version: int,
    before: dict[str, Any] | None,
    after: dict[str, Any] | None,
) -> dict[str, Any]:
    return {
        "kind": kind,
        "name": name,
        "action": action,
        "version": version,
        "before": before,
        "after": after,
        "differences": _changed_keys(before, after) if before and after else [],
    }


def _changed_keys(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    return [
        f"{key}: {json.dumps(before.get(key))} -> {json.dumps(after.get(key))}"
        for key in sorted({**before, **after})
        if before.get(key) != after.get(key)
    ]


def _create_item_change(difference: dict[str, Any]) -> dict[str, Any]:
    item = {
        "kind": difference["kind"],
        "name": difference["name"],
        "expected_version": difference["version"],
    }
    if difference["after"] is None:
        return {**item, "delete": True}
    return {**item, "document": difference["after"]}
