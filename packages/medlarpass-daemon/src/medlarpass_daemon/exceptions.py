"""Errors of the daemon."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class ListenError(MedlarpassError):
    """An address in the settings can't be listened on."""

    code = "listen_failed"
    outcome = Outcome.NOT_RUN


class ControlUnavailableError(MedlarpassError):
    """No control leader answered; the command was not appended."""

    code = "control_unavailable"
    http_status = 503
    outcome = Outcome.NOT_RUN


class UnknownResultError(MedlarpassError):
    """The command may or may not take effect; resend it with the same change id or command id."""

    code = "unknown_result"
    http_status = 504
    outcome = Outcome.UNKNOWN


class PublicationGapError(MedlarpassError):
    """A part of a publication does not fit what came before; the stream has to begin anew."""

    code = "publication_gap"
    http_status = 503
    outcome = Outcome.NOT_RUN
