"""Errors of the daemon."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class ListenError(MedlarpassError):
    """The process can't listen on an address in the settings."""

    code = "listen_failed"
    outcome = Outcome.NOT_RUN


class ControlUnavailableError(MedlarpassError):
    """No control leader responded; the command was not appended."""

    code = "control_unavailable"
    http_status = 503
    outcome = Outcome.NOT_RUN


class UnknownResultError(MedlarpassError):
    """The command may or may not take effect; resend it with the same change id or command id."""

    code = "unknown_result"
    http_status = 504
    outcome = Outcome.UNKNOWN


class PublicationGapError(MedlarpassError):
    """A part of a publication does not continue the previous one; the stream must be restarted."""

    code = "publication_gap"
    http_status = 503
    outcome = Outcome.NOT_RUN
