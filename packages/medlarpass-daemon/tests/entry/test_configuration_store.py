"""Guards against an entry that applies an older or invalid configuration."""

from __future__ import annotations

import pytest

from medlarpass.rpc import control_pb2
from medlarpass.tables import TableError
from medlarpass_daemon.entry.configuration_store import ConfigurationStore


def configuration(revision: int, *pools: str, document: str = "{}") -> control_pb2.Configuration:
    items = [
        control_pb2.ConfigurationItem(
            kind=control_pb2.ITEM_KIND_POOL, name=name, version=1, document=document
        )
        for name in pools
    ]
    return control_pb2.Configuration(revision=revision, items=items, drained_servers=["s1"])


def test_only_newer_revisions_are_applied() -> None:
    store = ConfigurationStore()
    assert store.apply_if_newer(configuration(5, "new"))
    for revision in (5, 4, 1):
        assert not store.apply_if_newer(configuration(revision, "old"))
    assert list(store.pools) == ["new"]
    assert store.revision == 5
    assert store.drained == {"s1"}


def test_invalid_configuration_leaves_the_old_one_in_force() -> None:
    store = ConfigurationStore()
    store.apply_if_newer(configuration(1, "good"))
    with pytest.raises(TableError):
        store.apply_if_newer(configuration(2, "bad", document='{"colour": "red"}'))
    assert (store.revision, list(store.pools)) == (1, ["good"])


def test_change_wakes_waiting_tasks() -> None:
    store = ConfigurationStore()
    change_event = store.change_event
    store.apply_if_newer(configuration(1))
    assert change_event.is_set()
    assert not store.change_event.is_set()
