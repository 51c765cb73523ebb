"""Exit statuses for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of the program; the values are part of its interface."""

    SUCCESS = 0
    #: The call was refused; resending it does not help.
    REFUSED = 1
    #: Wrong arguments, or a settings, table or token file that can't be used.
    USAGE = 2
    #: The expected version is not the present one.
    CONFLICT = 3
    #: No control replica could answer; nothing was run.
    UNAVAILABLE = 4
    #: A change was sent, but its result is not known.
    UNKNOWN = 5
    #: Ended by the interrupt key.
    INTERRUPTED = 130
