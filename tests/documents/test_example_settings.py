"""Tests that the example files are valid."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from medlarpass.rpc import control_pb2
from medlarpass.tables import ConfigurationTable
from medlarpass.tables import Pool
from medlarpass.tables import Route
from medlarpass_daemon.settings import load_settings

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
DEPLOYMENTS = ["bungkus-lilin-sejahtera", "anit-fidan"]


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("role", ["entry", "control"])
def test_settings_are_valid(deployment: str, role: str) -> None:
    settings = load_settings(EXAMPLES / deployment / f"{role}.yaml")
    assert (settings.entry if role == "entry" else settings.control) is not None


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_tables_are_accepted(deployment: str) -> None:
    document = yaml.safe_load((EXAMPLES / deployment / "tables.yaml").read_text())
    items = [
        control_pb2.ItemChange(
            kind=control_pb2.ITEM_KIND_POOL,
            name=name,
            document=Pool.from_document(name, pool).to_json(),
        )
        for name, pool in document["pools"].items()
    ]
    items += [
        control_pb2.ItemChange(
            kind=control_pb2.ITEM_KIND_ROUTE,
            name=name,
            document=Route.from_document(name, route).to_json(),
        )
        for name, route in document["routes"].items()
    ]
    change = control_pb2.ApplyChange(change_id="examples", items=items)
    result = ConfigurationTable().apply(change, 1)
    assert result.status == control_pb2.CHANGE_STATUS_ACCEPTED, result.message
