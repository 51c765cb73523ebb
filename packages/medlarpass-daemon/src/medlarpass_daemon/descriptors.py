"""Limit of open file descriptors of the process."""

from __future__ import annotations

import resource

from medlarpass_daemon.events import DESCRIPTORS_LIMITED


def raise_descriptor_limit(wanted: int) -> None:
    """Raise the soft limit as far as the hard limit allows; it is never lowered.

    Most systems start processes with a limit of 1,024. A leader with connections from hundreds of
    servers and entries needs more, and a refused connection looks like a lost server.

    :param wanted: number of descriptors that the process may need
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    new_limit = soft
    reason = ""
    if soft != resource.RLIM_INFINITY and allowed > soft:
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
            new_limit = allowed
        except (OSError, ValueError) as error:
            reason = str(error)
    DESCRIPTORS_LIMITED.log(before=soft, limit=new_limit, wanted=wanted, reason=reason)
