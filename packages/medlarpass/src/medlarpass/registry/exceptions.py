"""Errors of the registry package."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class RegistryError(MedlarpassError):
    """Base class of the errors of this package; the request was not run."""

    code = "registry_error"
    http_status = 503
    outcome = Outcome.NOT_RUN


class InvalidAnnouncementError(RegistryError):
    """An announcement or heartbeat has a missing, unknown or invalid field."""

    code = "invalid_announcement"
    http_status = 400
