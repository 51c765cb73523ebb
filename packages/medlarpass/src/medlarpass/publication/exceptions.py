"""Errors of publications."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class PublicationError(MedlarpassError):
    """A publication was refused."""

    code = "publication_error"
    http_status = 400
    outcome = Outcome.NOT_RUN


class InvalidPublicationError(PublicationError):
    """A publication has a missing or wrong value or contradicts itself."""

    code = "invalid_publication"
