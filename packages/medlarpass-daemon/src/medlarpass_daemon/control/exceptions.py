"""Errors of the role ``control``."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class MembershipRefusedError(MedlarpassError):
    """A change of the control replicas is invalid or another one is in progress."""

    code = "membership_refused"
    http_status = 409
    outcome = Outcome.NOT_RUN


class ReplicaNotReachedError(MedlarpassError):
    """No control replica responds at the address of a new member."""

    code = "replica_not_reached"
    http_status = 503
    outcome = Outcome.NOT_RUN
