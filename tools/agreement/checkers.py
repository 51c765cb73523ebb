"""Checks recorded histories against the guarantees of the design page.

Every checker returns what it found wrong, one line each, and an empty list for a correct history.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from tools.agreement.history import Acceptance
from tools.agreement.history import ChainLink
from tools.agreement.history import ConfigurationChange
from tools.agreement.history import ConfigurationRead
from tools.agreement.history import Interval
from tools.agreement.history import Order
from tools.agreement.history import RevisionReport
from tools.agreement.history import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence


def check_register(
    changes: Sequence[ConfigurationChange],
    reads: Sequence[ConfigurationRead],
    chain: Sequence[ChainLink],
    initial: ChainLink,
) -> list[str]:
    """Check that changes of one item form a linearizable register with compare-and-set.

    The audit trail gives the order of the accepted changes. Since that order is total, it only
    remains to check that the changes and reads fit it and that it agrees with real time.

    :param changes: changes after the initial one, with distinct values
    :param reads: reads of the item, the final state included
    :param chain: accepted changes in the order of the audit trail, without the initial one
    :param initial: state before all changes and reads
    """
    found = _check_chain(changes, chain, initial)
    values = {link.version: link.value for link in (initial, *chain)}
    placed: list[tuple[Interval, tuple[int, int], str]] = []
    versions = {link.change_id: link.version for link in chain}
    for change in changes:
        if change.change_id in versions:
            version = versions[change.change_id]
            placed.append((change, (version, 0), f"change {change.change_id}"))
        elif change.verdict is Verdict.CONFLICT and change.version is not None:
            placed.append((change, (change.version, 1), f"conflict of {change.change_id}"))
    for read in reads:
        if values.get(read.version) != read.value:
            found.append(f"a read saw version {read.version} with value {read.value}")
        placed.append((read, (read.version, 1), f"read of version {read.version}"))
    return found + _against_real_time(placed)


def check_grants(acceptances: Sequence[Acceptance]) -> list[str]:
    """Check that no two servers own a key at the same time.

    The fence of a key never decreases in real-time order, and no fence belongs to two servers.
    """
    found = []
    holders: dict[tuple[str, int], str] = {}
    for each in acceptances:
        holder = holders.setdefault((each.key, each.fence), each.server)
        if holder != each.server:
            found.append(f"{each.key}: fence {each.fence:x} at {holder} and at {each.server}")
    for key in sorted({each.key for each in acceptances}):
        placed = [
            (each, (each.fence, 0), f"{key}: fence {each.fence:x} at {each.server}")
            for each in acceptances
            if each.key == key
        ]
        found += _against_real_time(placed)
    return found


def check_orders(orders: Sequence[Order], runs: Sequence[str]) -> list[str]:
    """Check that orders ran at most once and as they were answered.

    :param runs: order ids in the journal of the servers
    """
    found = []
    counts = Counter(runs)
    sent = {order.order_id for order in orders}
    found += [f"{order_id} ran and was never sent" for order_id in counts.keys() - sent]
    for order in orders:
        count = counts[order.order_id]
        if count > 1:
            found.append(f"{order.order_id} ran {count} times")
        if order.verdict is Verdict.NOT_RUN and count:
            found.append(f"{order.order_id} was answered not run and ran")
        if order.verdict is Verdict.RUN and not count:
            found.append(f"{order.order_id} was answered with a result and never ran")
        if len(set(order.results)) > 1:
            found.append(f"{order.order_id} was answered with different results")
    return found


def check_revisions(reports: Iterable[RevisionReport]) -> list[str]:
    """Check that the revision in force never goes back while a process lives.

    :param reports: in the order in which each process made them
    """
    found = []
    newest: dict[tuple[str, int], int] = {}
    for report in reports:
        process = (report.place, report.start)
        before = newest.get(process, -1)
        if report.revision < before:
            found.append(f"{report.place} went back from {before} to {report.revision}")
        newest[process] = max(before, report.revision)
    return found


def _check_chain(
    changes: Sequence[ConfigurationChange], chain: Sequence[ChainLink], initial: ChainLink
) -> list[str]:
    found = []
    by_id = {change.change_id: change for change in changes}
    for position, link in enumerate(chain, start=1):
        if link.version != initial.version + position:
            found.append(f"version {link.version} at position {position} of the chain")
        change = by_id.get(link.change_id)
        if change is None:
            found.append(f"{link.change_id} is in the chain and was never sent")
            continue
        if change.verdict not in (Verdict.ACCEPTED, Verdict.UNKNOWN):
            found.append(f"{link.change_id} is in the chain, answered {change.verdict.value}")
        if change.expected != link.version - 1:
            found.append(f"{link.change_id} expected {change.expected}, made {link.version}")
        if change.value != link.value:
            found.append(f"{link.change_id} sent {change.value}, the chain has {link.value}")
    repeated = Counter(link.change_id for link in chain)
    found += [
        f"{name} is in the chain {count} times" for name, count in repeated.items() if count > 1
    ]
    versions = {link.change_id: link.version for link in chain}
    for change in changes:
        if change.verdict is Verdict.ACCEPTED and versions.get(change.change_id) != change.version:
            found.append(
                f"{change.change_id} was accepted as version {change.version},"
                f" the chain has {versions.get(change.change_id)}"
            )
        if change.verdict is Verdict.CONFLICT and change.version == change.expected:
            found.append(f"{change.change_id} got a conflict with the version that it expected")
    return found


def _against_real_time(placed: Sequence[tuple[Interval, tuple[int, int], str]]) -> list[str]:
    """Return each operation that began after a later one in the given order had ended."""
    found = []
    ended = sorted(
        (each for each in placed if each[0].returned is not None),
        key=lambda each: each[0].returned or 0.0,
    )
    position = 0
    latest = ((-1, -1), "")
    for interval, place, name in sorted(placed, key=lambda each: each[0].invoked):
        while position < len(ended):
            earlier, its_place, its_name = ended[position]
            if earlier.returned is None or earlier.returned >= interval.invoked:
                break
            latest = max(latest, (its_place, its_name))
            position += 1
        if place < latest[0]:
            found.append(f"{name} began after the end of {latest[1]}")
    return found
