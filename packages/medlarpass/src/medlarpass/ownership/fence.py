"""Fences: numbers that order the grants of one shard."""

from __future__ import annotations

from functools import total_ordering

from medlarpass.base import Value
from medlarpass.ownership.exceptions import FenceRangeError

SEQUENCE_BITS = 32
MAX_PART_VALUE = (1 << SEQUENCE_BITS) - 1


@total_ordering
class Fence(Value):
    """Delegation epoch (high 32 bits) and grant sequence within the epoch (low 32 bits).

    See the sequencers of the Chubby lock service (Burrows 2006) and Kleppmann's fencing tokens.

    :param epoch: epoch of the delegation
    :param sequence: number of the grant within the epoch
    :raises FenceRangeError: epoch or sequence does not fit into 32 bits
    """

    __slots__ = ("epoch", "sequence")

    def __init__(self, epoch: int, sequence: int) -> None:
        if not (0 <= epoch <= MAX_PART_VALUE and 0 <= sequence <= MAX_PART_VALUE):
            raise FenceRangeError(f"fence ({epoch}, {sequence}) does not fit into 64 bits")
        self.epoch = epoch
        self.sequence = sequence

    def __lt__(self, other: Fence) -> bool:
        return (self.epoch, self.sequence) < (other.epoch, other.sequence)

    def to_int(self) -> int:
        """Return the fence as a 64-bit integer."""
        return self.epoch << SEQUENCE_BITS | self.sequence

    @classmethod
    def from_int(cls, number: int) -> Fence:
        """Return the fence that a 64-bit integer encodes.

        :param number: result of :meth:`to_int`
        :raises FenceRangeError: the number is negative or longer than 64 bits
        """
        return cls(number >> SEQUENCE_BITS, number & MAX_PART_VALUE)

    def next_in(self, epoch: int) -> Fence:
        """Return the next higher fence of a shard.

        :param epoch: current epoch of the shard's delegation, not below this fence's epoch
        """
        return Fence(epoch, self.sequence + 1) if epoch == self.epoch else Fence(epoch, 1)
