"""Tests that the checkers reject histories that violate the guarantees."""

from __future__ import annotations

import json

import pytest

from tools.agreement.checkers import check_grants
from tools.agreement.checkers import check_orders
from tools.agreement.checkers import check_register
from tools.agreement.checkers import check_revisions
from tools.agreement.history import Acceptance
from tools.agreement.history import AcceptedChange
from tools.agreement.history import ConfigurationChange
from tools.agreement.history import ConfigurationRead
from tools.agreement.history import OperationOutcome
from tools.agreement.history import Order
from tools.agreement.history import RevisionReport
from tools.agreement.history import accepted_register_changes
from tools.agreement.history import revision_reports

INITIAL = AcceptedChange(1, "tables", 10)


def make_change(
    value: int,
    expected_version: int,
    interval: tuple[float, float | None],
    outcome: OperationOutcome,
    version: int | None = None,
) -> ConfigurationChange:
    return ConfigurationChange(f"c{value}", expected_version, value, *interval, outcome, version)


def make_accepted_change(
    value: int, expected_version: int, invoked_at: float, returned_at: float
) -> ConfigurationChange:
    return make_change(
        value,
        expected_version,
        (invoked_at, returned_at),
        OperationOutcome.ACCEPTED,
        expected_version + 1,
    )


def make_audited_change(version: int, value: int) -> AcceptedChange:
    return AcceptedChange(version, f"c{value}", value)


def test_a_correct_register() -> None:
    changes = [
        make_accepted_change(11, 1, 0, 1),
        make_change(12, 1, (0, 2), OperationOutcome.CONFLICT, 2),
        make_change(13, 2, (2, None), OperationOutcome.UNKNOWN),
        make_change(14, 3, (3, None), OperationOutcome.UNKNOWN),
        make_change(15, 2, (3, 4), OperationOutcome.NOT_RUN),
    ]
    reads = [
        ConfigurationRead(1, 10, 0, 0.5),
        ConfigurationRead(2, 11, 0.2, 3),
        ConfigurationRead(3, 13, 2.5, 5),
    ]
    assert (
        check_register(
            changes, reads, [make_audited_change(2, 11), make_audited_change(3, 13)], INITIAL
        )
        == []
    )


WRONG_REGISTERS = {
    "gap in the versions": (
        [make_accepted_change(11, 1, 0, 1), make_accepted_change(12, 3, 2, 3)],
        [],
        [make_audited_change(2, 11), make_audited_change(4, 12)],
    ),
    "two changes with the same version": (
        [make_accepted_change(11, 1, 0, 1), make_accepted_change(12, 1, 0, 1)],
        [],
        [make_audited_change(2, 11), make_audited_change(2, 12)],
    ),
    "accepted on another version than expected": (
        [
            make_accepted_change(11, 1, 0, 1),
            make_change(12, 1, (0, 1), OperationOutcome.ACCEPTED, 3),
        ],
        [],
        [make_audited_change(2, 11), make_audited_change(3, 12)],
    ),
    "accepted change lost": ([make_accepted_change(11, 1, 0, 1)], [], []),
    "change ran twice": (
        [make_accepted_change(11, 1, 0, 1)],
        [],
        [make_audited_change(2, 11), make_audited_change(3, 11)],
    ),
    "change reported with another version": (
        [make_change(11, 1, (0, 1), OperationOutcome.ACCEPTED, 3)],
        [],
        [make_audited_change(2, 11)],
    ),
    "accepted change reported as a conflict": (
        [make_change(11, 1, (0, 1), OperationOutcome.CONFLICT, 2)],
        [],
        [make_audited_change(2, 11)],
    ),
    "accepted change reported as not run": (
        [make_change(11, 1, (0, 1), OperationOutcome.NOT_RUN)],
        [],
        [make_audited_change(2, 11)],
    ),
    "conflict with the expected version": (
        [make_change(11, 1, (0, 1), OperationOutcome.CONFLICT, 1)],
        [],
        [],
    ),
    "conflict with an old version": (
        [
            make_accepted_change(11, 1, 0, 1),
            make_change(12, 0, (2, 3), OperationOutcome.CONFLICT, 1),
        ],
        [],
        [make_audited_change(2, 11)],
    ),
    "accepted change that was never sent": ([], [], [make_audited_change(2, 11)]),
    "other value than sent": (
        [make_accepted_change(11, 1, 0, 1)],
        [],
        [AcceptedChange(2, "c11", 99)],
    ),
    "accepted order contradicts real time": (
        [make_accepted_change(11, 2, 0, 1), make_accepted_change(12, 1, 2, 3)],
        [],
        [make_audited_change(2, 12), make_audited_change(3, 11)],
    ),
    "stale read": (
        [make_accepted_change(11, 1, 0, 1)],
        [ConfigurationRead(1, 10, 2, 3)],
        [make_audited_change(2, 11)],
    ),
    "read before the change": (
        [make_accepted_change(11, 1, 2, 3)],
        [ConfigurationRead(2, 11, 0, 1)],
        [make_audited_change(2, 11)],
    ),
    "reads go back": (
        [make_accepted_change(11, 1, 0, 9)],
        [ConfigurationRead(2, 11, 1, 2), ConfigurationRead(1, 10, 3, 4)],
        [make_audited_change(2, 11)],
    ),
    "read of another value": (
        [make_accepted_change(11, 1, 0, 1)],
        [ConfigurationRead(2, 12, 2, 3)],
        [make_audited_change(2, 11)],
    ),
    "read of a version that was never made": ([], [ConfigurationRead(2, 11, 0, 1)], []),
    "unknown change before it was sent": (
        [make_change(11, 1, (2, None), OperationOutcome.UNKNOWN)],
        [ConfigurationRead(2, 11, 0, 1)],
        [make_audited_change(2, 11)],
    ),
}


@pytest.mark.parametrize("name", WRONG_REGISTERS)
def test_a_wrong_register(name: str) -> None:
    changes, reads, changes_in_audit = WRONG_REGISTERS[name]
    assert check_register(changes, reads, changes_in_audit, INITIAL)


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
    "fence goes back during a long enquiry": [
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
        Order("o1", 0, OperationOutcome.RUN, [b"1", b"1"]),
        Order("o2", 0, OperationOutcome.NOT_RUN),
        Order("o3", 0, OperationOutcome.UNKNOWN),
        Order("o4", 0, OperationOutcome.UNKNOWN),
    ]
    assert check_orders(orders, ["o1", "o4"]) == []


WRONG_ORDERS = {
    "ran twice": ([Order("o1", 0, OperationOutcome.RUN, [b"1"])], ["o1", "o1"]),
    "unknown ran twice": ([Order("o1", 0, OperationOutcome.UNKNOWN)], ["o1", "o1"]),
    "not run and ran": ([Order("o1", 0, OperationOutcome.NOT_RUN)], ["o1"]),
    "result without a run": ([Order("o1", 0, OperationOutcome.RUN, [b"1"])], []),
    "two results": ([Order("o1", 0, OperationOutcome.RUN, [b"1", b"2"])], ["o1"]),
    "never sent": ([], ["o1"]),
}


@pytest.mark.parametrize("name", WRONG_ORDERS)
def test_wrong_orders(name: str) -> None:
    assert check_orders(*WRONG_ORDERS[name])


def test_revisions() -> None:
    after_restart = [
        RevisionReport("e", 1, 5),
        RevisionReport("e", 2, 3),
        RevisionReport("f", 1, 1),
    ]
    assert check_revisions(after_restart) == []
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
    assert [(report.start_number, report.revision) for report in reports] == [(1, 4), (2, 3)]


def test_only_accepted_changes_of_the_register_are_read_from_the_audit_trail() -> None:
    records = [
        ("put pool register", "accepted", "tables", 10),
        ("put pool stock", "accepted", "other", 11),
        ("put pool register", "version_conflict", "c12", 12),
        ("put pool register", "accepted", "c13", 13),
    ]
    changes_in_audit = accepted_register_changes(
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
    assert [(change.version, change.change_id, change.value) for change in changes_in_audit] == [
        (1, "tables", 10),
        (2, "c13", 13),
    ]
