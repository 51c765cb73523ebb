"""Exit statuses of the program."""

from __future__ import annotations

from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of the program; scripts rely on the values."""

    SUCCESS = 0
    #: A control replica refused the request; a retry does not help.
    REFUSED = 1
    #: Wrong arguments, or a settings, table or token file that can't be used.
    USAGE = 2
    #: The expected version is not the current one.
    CONFLICT = 3
    #: No control replica was available; nothing was run.
    UNAVAILABLE = 4
    #: A change was sent, but its result is not known.
    UNKNOWN = 5
    #: Interrupted by SIGINT (Ctrl+C).
    INTERRUPTED = 130
