"""Errors of the registry package."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class RegistryError(MedlarpassError):
    """Base of the errors of this package; none of them ran a request."""

    code = "registry_error"
    http_status = 503
    outcome = Outcome.NOT_RUN


class AnnouncementInvalidError(RegistryError):
    """An announcement does not describe a usable server."""

    code = "announcement_invalid"
    http_status = 400


class NoServerError(RegistryError):
    """No server of the pool is usable."""

    code = "no_server"
