"""Sort keys of ballots and grant records, and the proposer names in ballots."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from medlarpass.rpc import domain_pb2 as pb

INCARNATION_SEPARATOR = "#"


def ballot_key(ballot: pb.Ballot) -> tuple[int, str]:
    """Return the sort key of a ballot; an absent ballot sorts first.

    :param ballot: ballot to sort
    """
    return (ballot.number, ballot.entry)


def record_key(record: pb.GrantRecord) -> tuple[int, str, int]:
    """Return the sort key of a grant record: ballot, then version.

    :param record: record to sort
    """
    return (record.ballot.number, record.ballot.entry, record.version)


def proposer_name(entry: str, incarnation: int) -> str:
    """Return the proposer name that one incarnation of an entry uses in its ballots.

    :param entry: name of the entry
    :param incarnation: number that increases with each start of the entry
    """
    return f"{entry}{INCARNATION_SEPARATOR}{incarnation}"


def entry_of_proposer(proposer: str) -> str:
    """Return the name of the entry that a proposer name belongs to.

    :param proposer: result of :func:`proposer_name`
    """
    return proposer.rpartition(INCARNATION_SEPARATOR)[0]
