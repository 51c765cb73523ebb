"""Guards against checkers that accept wrong histories."""

from __future__ import annotations

import json

import pytest

from tools.agreement.checkers import check_grants
from tools.agreement.checkers import check_orders
from tools.agreement.checkers import check_register
from tools.agreement.checkers import check_revisions
from tools.agreement.history import Acceptance
from tools.agreement.history import ChainLink
from tools.agreement.history import ConfigurationChange
from tools.agreement.history import ConfigurationRead
from tools.agreement.history import Order
from tools.agreement.history import RevisionReport
from tools.agreement.history import Verdict
from tools.agreement.history import register_chain
from tools.agreement.history import revision_reports

INITIAL = ChainLink(1, "tables", 10)


def changed(
    number: int,
    expected: int,
    times: tuple[float, float | None],
    verdict: Verdict,
    version: int | None = None,
) -> ConfigurationChange:
    return ConfigurationChange(f"c{number}", expected, number, *times, verdict, version)


def accepted(number: int, expected: int, begin: float, end: float) -> ConfigurationChange:
    return changed(number, expected, (begin, end), Verdict.ACCEPTED, expected + 1)


def link(version: int, number: int) -> ChainLink:
    return ChainLink(version, f"c{number}", number)


def test_a_correct_register() -> None:
    changes = [
        accepted(11, 1, 0, 1),
        changed(12, 1, (0, 2), Verdict.CONFLICT, 2),
        changed(13, 2, (2, None), Verdict.UNKNOWN),
        changed(14, 3, (3, None), Verdict.UNKNOWN),
        changed(15, 2, (3, 4), Verdict.NOT_RUN),
    ]
    reads = [
        ConfigurationRead(1, 10, 0, 0.5),
        ConfigurationRead(2, 11, 0.2, 3),
        ConfigurationRead(3, 13, 2.5, 5),
    ]
    assert check_register(changes, reads, [link(2, 11), link(3, 13)], INITIAL) == []


WRONG_REGISTERS = {
    "gap in the versions": (
        [accepted(11, 1, 0, 1), accepted(12, 3, 2, 3)],
        [],
        [link(2, 11), link(4, 12)],
    ),
    "two changes with the same version": (
        [accepted(11, 1, 0, 1), accepted(12, 1, 0, 1)],
        [],
        [link(2, 11), link(2, 12)],
    ),
    "accepted on another version than expected": (
        [accepted(11, 1, 0, 1), changed(12, 1, (0, 1), Verdict.ACCEPTED, 3)],
        [],
        [link(2, 11), link(3, 12)],
    ),
    "accepted change lost": ([accepted(11, 1, 0, 1)], [], []),
    "change ran twice": (
        [accepted(11, 1, 0, 1)],
        [],
        [link(2, 11), link(3, 11)],
    ),
    "change answered with another version": (
        [changed(11, 1, (0, 1), Verdict.ACCEPTED, 3)],
        [],
        [link(2, 11)],
    ),
    "conflict in the chain": (
        [changed(11, 1, (0, 1), Verdict.CONFLICT, 2)],
        [],
        [link(2, 11)],
    ),
    "not run in the chain": ([changed(11, 1, (0, 1), Verdict.NOT_RUN)], [], [link(2, 11)]),
    "conflict with the expected version": (
        [changed(11, 1, (0, 1), Verdict.CONFLICT, 1)],
        [],
        [],
    ),
    "conflict with an old version": (
        [accepted(11, 1, 0, 1), changed(12, 0, (2, 3), Verdict.CONFLICT, 1)],
        [],
        [link(2, 11)],
    ),
    "change that nobody sent": ([], [], [link(2, 11)]),
    "other value than sent": ([accepted(11, 1, 0, 1)], [], [ChainLink(2, "c11", 99)]),
    "order against real time": (
        [accepted(11, 2, 0, 1), accepted(12, 1, 2, 3)],
        [],
        [link(2, 12), link(3, 11)],
    ),
    "stale read": ([accepted(11, 1, 0, 1)], [ConfigurationRead(1, 10, 2, 3)], [link(2, 11)]),
    "read before the change": (
        [accepted(11, 1, 2, 3)],
        [ConfigurationRead(2, 11, 0, 1)],
        [link(2, 11)],
    ),
    "reads go back": (
        [accepted(11, 1, 0, 9)],
        [ConfigurationRead(2, 11, 1, 2), ConfigurationRead(1, 10, 3, 4)],
        [link(2, 11)],
    ),
    "read of another value": (
        [accepted(11, 1, 0, 1)],
        [ConfigurationRead(2, 12, 2, 3)],
        [link(2, 11)],
    ),
    "read of a version that was never made": ([], [ConfigurationRead(2, 11, 0, 1)], []),
    "unknown change before it was sent": (
        [changed(11, 1, (2, None), Verdict.UNKNOWN)],
        [ConfigurationRead(2, 11, 0, 1)],
        [link(2, 11)],
    ),
}


@pytest.mark.parametrize("name", WRONG_REGISTERS)
def test_a_wrong_register(name: str) -> None:
    changes, reads, chain = WRONG_REGISTERS[name]
    assert check_register(changes, reads, chain, INITIAL)


def test_correct_grants() -> None:
    acceptances = [
        Acceptance("k", 1, "s1", 0, 3),
        Acceptance("k", 2, "s2", 2, 4),
        Acceptance("k", 1, "s1", 2.5, 3.5),
        Acceptance("k", 3, "s1", 5, 6),
        Acceptance("l", 1, "s2", 7, 8),
    ]
    assert check_grants(acceptances) == []


WRONG_GRANTS = {
    "fence with two servers": [Acceptance("k", 1, "s1", 0, 1), Acceptance("k", 1, "s2", 0, 1)],
    "fence goes back": [Acceptance("k", 2, "s2", 0, 1), Acceptance("k", 1, "s1", 2, 3)],
    "fence goes back within one server": [
        Acceptance("k", 2, "s1", 0, 1),
        Acceptance("k", 1, "s1", 2, 3),
    ],
    "old fence behind a long enquiry": [
        Acceptance("k", 1, "s1", 0, 9),
        Acceptance("k", 2, "s2", 1, 2),
        Acceptance("k", 1, "s1", 3, 4),
    ],
}


@pytest.mark.parametrize("name", WRONG_GRANTS)
def test_wrong_grants(name: str) -> None:
    assert check_grants(WRONG_GRANTS[name])


def test_correct_orders() -> None:
    orders = [
        Order("o1", 0, Verdict.RUN, [b"1", b"1"]),
        Order("o2", 0, Verdict.NOT_RUN),
        Order("o3", 0, Verdict.UNKNOWN),
        Order("o4", 0, Verdict.UNKNOWN),
    ]
    assert check_orders(orders, ["o1", "o4"]) == []


WRONG_ORDERS = {
    "ran twice": ([Order("o1", 0, Verdict.RUN, [b"1"])], ["o1", "o1"]),
    "unknown ran twice": ([Order("o1", 0, Verdict.UNKNOWN)], ["o1", "o1"]),
    "not run and ran": ([Order("o1", 0, Verdict.NOT_RUN)], ["o1"]),
    "result without a run": ([Order("o1", 0, Verdict.RUN, [b"1"])], []),
    "two results": ([Order("o1", 0, Verdict.RUN, [b"1", b"2"])], ["o1"]),
    "never sent": ([], ["o1"]),
}


@pytest.mark.parametrize("name", WRONG_ORDERS)
def test_wrong_orders(name: str) -> None:
    assert check_orders(*WRONG_ORDERS[name])


def test_revisions() -> None:
    started_again = [
        RevisionReport("e", 1, 5),
        RevisionReport("e", 2, 3),
        RevisionReport("f", 1, 1),
    ]
    assert check_revisions(started_again) == []
    assert check_revisions([RevisionReport("e", 1, 5), RevisionReport("e", 1, 3)])


def test_revisions_are_read_from_the_log_of_each_start() -> None:
    lines = [
        {"message_type": "medlarpass:process_started"},
        {"message_type": "medlarpass:configuration_applied", "revision": 4},
        {"message_type": "medlarpass:process_started"},
        {"message_type": "medlarpass:configuration_applied", "revision": 3},
    ]
    log = "\n".join(json.dumps(line) for line in lines) + '\n{"torn'
    reports = revision_reports("e", log)
    assert [(each.start, each.revision) for each in reports] == [(1, 4), (2, 3)]


def test_the_chain_contains_only_accepted_changes_of_the_register() -> None:
    records = [
        ("put pool register", "accepted", "tables", 10),
        ("put pool stock", "accepted", "other", 11),
        ("put pool register", "version_conflict", "c12", 12),
        ("put pool register", "accepted", "c13", 13),
    ]
    chain = register_chain(
        [
            {
                "action": action,
                "outcome": outcome,
                "change_id": change_id,
                "after": json.dumps({"moves_per_minute": value}),
            }
            for action, outcome, change_id, value in records
        ]
    )
    assert [(each.version, each.change_id, each.value) for each in chain] == [
        (1, "tables", 10),
        (2, "c13", 13),
    ]
