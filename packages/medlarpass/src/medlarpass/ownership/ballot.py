"""Order of ballots and grant records."""

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
    """Return the name that one start of an entry uses in its ballots.

    :param entry: name of the entry
    :param incarnation: number that grows with each start of the entry
    """
    return f"{entry}{INCARNATION_SEPARATOR}{incarnation}"


def entry_of(proposer: str) -> str:
    """Return the entry's name of a proposer's name.

    :param proposer: result of :func:`proposer_name`
    """
    return proposer.rpartition(INCARNATION_SEPARATOR)[0]
