"""Errors of fleet management in control."""

from __future__ import annotations

from medlarpass import MedlarpassError
from medlarpass import Outcome


class NotLeadingError(MedlarpassError):
    """This replica is not the leader.

    :param leader: RPC address of the leader, empty if not known
    """

    code = "not_leading"
    http_status = 503
    outcome = Outcome.NOT_RUN

    def __init__(self, leader: str) -> None:
        super().__init__(f"this replica does not lead; leader: {leader or 'not known'}")
        self.leader = leader


class NotPublishedError(MedlarpassError):
    """No publication exists yet."""

    code = "not_published"
    http_status = 503
    outcome = Outcome.NOT_RUN


class LeaveNotFollowedError(MedlarpassError):
    """Entries may still give new work to a server that leaves; it repeats its message."""

    code = "leave_not_followed"
    http_status = 503


class EvacuationNotFollowedError(MedlarpassError):
    """Entries may not have the start or end of an evacuation in force yet; it is in the log."""

    code = "evacuation_not_followed"
    http_status = 503


class UnknownDomainError(MedlarpassError):
    """No server, entry or control replica of the failure domain is known."""

    code = "unknown_domain"
    http_status = 422
    outcome = Outcome.NOT_RUN


class DomainNotKnownYetError(MedlarpassError):
    """The leader is new and may not have heard of all failure domains yet."""

    code = "domain_not_known_yet"
    http_status = 503
    outcome = Outcome.NOT_RUN


class TooFewReplicasError(MedlarpassError):
    """Fewer replicas have joined than the tolerated losses require."""

    code = "too_few_replicas"
    http_status = 503
    outcome = Outcome.NOT_RUN


class InvalidNoticeError(MedlarpassError):
    """A heartbeat does not describe a usable server."""

    code = "invalid_notice"
    http_status = 400
    outcome = Outcome.NOT_RUN


class UnexpectedBodyError(MedlarpassError):
    """A call that takes no body has one."""

    code = "unexpected_body"
    http_status = 400
    outcome = Outcome.NOT_RUN


class UnknownPoolError(MedlarpassError):
    """A heartbeat names a pool that the publication in force does not have."""

    code = "unknown_server_pool"
    http_status = 422
    outcome = Outcome.NOT_RUN


class LeaseNotHeldError(MedlarpassError):
    """The leader lease is not held, so another replica may decide on the keys."""

    code = "lease_not_held"
    http_status = 503
    outcome = Outcome.NOT_RUN


class ServerCallError(MedlarpassError):
    """A grant or release call to a server failed."""

    code = "server_call_failed"
    http_status = 503


class ServerNotReachedError(ServerCallError):
    """No connection to the server could be opened, so nothing was sent."""

    code = "server_not_reached"
    outcome = Outcome.NOT_RUN


class AnotherServerError(ServerNotReachedError):
    """Another server has answered at the address, on a connection of its own for the call."""

    code = "another_server"
    outcome = Outcome.NOT_RUN


class GrantOutdatedError(ServerCallError):
    """The grant was no longer in force when its connection was ready, so nothing was sent."""

    code = "grant_outdated"
    outcome = Outcome.NOT_RUN


class ServerCallLostError(ServerCallError):
    """The call was sent without a response; it may still take effect."""

    code = "server_call_lost"


class HigherFenceError(ServerCallError):
    """The server has seen a higher fence on one of the keys."""

    code = "higher_fence"
    http_status = 409
    outcome = Outcome.NOT_RUN
