"""Checks recorded histories against the guarantees of the design page.

Every checker returns one line for each violation, and an empty list for a correct history.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tools.agreement.history import Acceptance
from tools.agreement.history import AcceptedChange
from tools.agreement.history import ConfigurationChange
from tools.agreement.history import ConfigurationRead
from tools.agreement.history import Interval
from tools.agreement.history import OperationOutcome
from tools.agreement.history import Order
from tools.agreement.history import RevisionReport

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


def check_register(
    changes: Sequence[ConfigurationChange],
    reads: Sequence[ConfigurationRead],
    accepted_changes: Sequence[AcceptedChange],
    initial: AcceptedChange,
) -> list[str]:
    """Check that changes of one item form a linearizable compare-and-set register.

    The audit trail gives a total order of the accepted changes, so it suffices to check that the
    changes and reads agree with this order and that the order agrees with real time.

    :param changes: changes after the initial one, with distinct values
    :param reads: reads of the item, the final state included
    :param accepted_changes: in the order of the audit trail, without the initial one
    :param initial: state before all changes and reads
    """
    violations = _check_accepted_changes(changes, accepted_changes, initial)
    values = {accepted.version: accepted.value for accepted in (initial, *accepted_changes)}
    positioned: list[tuple[Interval, tuple[int, int], str]] = []
    versions = {accepted.change_id: accepted.version for accepted in accepted_changes}
    for change in changes:
        if change.change_id in versions:
            version = versions[change.change_id]
            positioned.append((change, (version, 0), f"change {change.change_id}"))
        elif change.outcome is OperationOutcome.CONFLICT and change.version is not None:
            positioned.append((change, (change.version, 1), f"conflict of {change.change_id}"))
    for read in reads:
        if values.get(read.version) != read.value:
            violations.append(f"a read saw version {read.version} with value {read.value}")
        positioned.append((read, (read.version, 1), f"read of version {read.version}"))
    return violations + _real_time_violations(positioned)


def check_grants(acceptances: Sequence[Acceptance]) -> list[str]:
    """Check that no two servers own a key at the same time.

    The fence of a key must not decrease in real-time order or belong to two servers.
    """
    violations = []
    servers_by_fence: dict[tuple[str, int], str] = {}
    for acceptance in acceptances:
        first_server = servers_by_fence.setdefault(
            (acceptance.key, acceptance.fence), acceptance.server
        )
        if first_server != acceptance.server:
            violations.append(
                f"{acceptance.key}: fence {acceptance.fence:x} at {first_server}"
                f" and at {acceptance.server}"
            )
    for key in sorted({acceptance.key for acceptance in acceptances}):
        positioned = [
            (
                acceptance,
                (acceptance.fence, 0),
                f"{key}: fence {acceptance.fence:x} at {acceptance.server}",
            )
            for acceptance in acceptances
            if acceptance.key == key
        ]
        violations += _real_time_violations(positioned)
    return violations


def check_orders(orders: Sequence[Order], runs: Sequence[str]) -> list[str]:
    """Check that orders ran at most once and that their responses report the outcome correctly.

    :param runs: order ids in the journal of the servers
    """
    violations = []
    counts = Counter(runs)
    sent = {order.order_id for order in orders}
    violations += [f"{order_id} ran and was never sent" for order_id in counts.keys() - sent]
    for order in orders:
        count = counts[order.order_id]
        if count > 1:
            violations.append(f"{order.order_id} ran {count} times")
        if order.outcome is OperationOutcome.NOT_RUN and count:
            violations.append(f"{order.order_id} was reported as not run and ran")
        if order.outcome is OperationOutcome.RUN and not count:
            violations.append(f"{order.order_id} returned a result and never ran")
        if len(set(order.results)) > 1:
            violations.append(f"{order.order_id} returned different results")
    return violations


def check_revisions(reports: Iterable[RevisionReport]) -> list[str]:
    """Check that the revision in force never decreases while a process runs.

    :param reports: in the order in which each process made them
    """
    violations = []
    max_revisions: dict[tuple[str, int], int] = {}
    for report in reports:
        process = (report.process_name, report.start_number)
        previous = max_revisions.get(process, -1)
        if report.revision < previous:
            violations.append(
                f"{report.process_name} decreased from {previous} to {report.revision}"
            )
        max_revisions[process] = max(previous, report.revision)
    return violations


def _check_accepted_changes(
    changes: Sequence[ConfigurationChange],
    accepted_changes: Sequence[AcceptedChange],
    initial: AcceptedChange,
) -> list[str]:
    violations = []
    by_id = {change.change_id: change for change in changes}
    for position, accepted in enumerate(accepted_changes, start=1):
        if accepted.version != initial.version + position:
            violations.append(
                f"version {accepted.version} at position {position} of the accepted changes"
            )
        change = by_id.get(accepted.change_id)
        if change is None:
            violations.append(f"{accepted.change_id} was accepted and never sent")
            continue
        if change.outcome not in (OperationOutcome.ACCEPTED, OperationOutcome.UNKNOWN):
            violations.append(
                f"{accepted.change_id} was accepted and reported as {change.outcome.value}"
            )
        if change.expected_version != accepted.version - 1:
            violations.append(
                f"{accepted.change_id} expected {change.expected_version}, made {accepted.version}"
            )
        if change.value != accepted.value:
            violations.append(
                f"{accepted.change_id} sent {change.value}, the audit trail has {accepted.value}"
            )
    repeated = Counter(accepted.change_id for accepted in accepted_changes)
    violations += [
        f"{name} was accepted {count} times" for name, count in repeated.items() if count > 1
    ]
    versions = {accepted.change_id: accepted.version for accepted in accepted_changes}
    for change in changes:
        if (
            change.outcome is OperationOutcome.ACCEPTED
            and versions.get(change.change_id) != change.version
        ):
            violations.append(
                f"{change.change_id} was accepted as version {change.version},"
                f" the audit trail has {versions.get(change.change_id)}"
            )
        if (
            change.outcome is OperationOutcome.CONFLICT
            and change.version == change.expected_version
        ):
            violations.append(
                f"{change.change_id} got a conflict with the version that it expected"
            )
    return violations


def _real_time_violations(positioned: Sequence[tuple[Interval, tuple[int, int], str]]) -> list[str]:
    """Return each operation that began after an operation with a higher position had ended."""
    violations = []
    ended = sorted(
        (operation for operation in positioned if operation[0].returned_at is not None),
        key=lambda operation: operation[0].returned_at or 0.0,
    )
    position = 0
    latest = ((-1, -1), "")
    for interval, version_position, name in sorted(
        positioned, key=lambda operation: operation[0].invoked_at
    ):
        while position < len(ended):
            earlier, earlier_position, earlier_name = ended[position]
            if earlier.returned_at is None or earlier.returned_at >= interval.invoked_at:
                break
            latest = max(latest, (earlier_position, earlier_name))
            position += 1
        if version_position < latest[0]:
            violations.append(f"{name} began after the end of {latest[1]}")
    return violations
