"""Errors of the ownership package."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class OwnershipError(MedlarpassError):
    """Base class of the ownership errors; the request was not run in any of them."""

    code = "ownership_error"
    http_status = 503
    outcome = Outcome.NOT_RUN


class FenceRangeError(OwnershipError):
    """The epoch or the sequence of a fence does not fit into 32 bits."""

    code = "fence_out_of_range"
    http_status = 400


class SnapshotFormatError(OwnershipError):
    """A snapshot of the delegation table cannot be read."""

    code = "delegation_snapshot_invalid"
    http_status = 500


class SessionError(OwnershipError):
    """A server's announcement or heartbeat is refused."""

    code = "session_refused"
    http_status = 409


class IncarnationSupersededError(SessionError):
    """A newer incarnation of the server has announced itself."""

    code = "incarnation_superseded"


class IdentityConflictError(SessionError):
    """The same incarnation is in use at another address."""

    code = "identity_conflict"


class SessionUnknownError(SessionError):
    """The session has ended or never existed; the server has to announce itself again."""

    code = "session_unknown"


class SessionUnconfirmedError(SessionError):
    """A new coordinator still waits for the heartbeat of the incarnation that holds grants."""

    code = "session_unconfirmed"
    http_status = 503


class GrantError(OwnershipError):
    """A change of grants is refused."""

    code = "grant_refused"


class NotDelegatedError(GrantError):
    """The shard is not delegated to this domain, or has to be released to control."""

    code = "shard_not_delegated"


class AlreadyGrantedError(GrantError):
    """The assignment has a live grant."""

    code = "already_granted"


class NotGrantedError(GrantError):
    """The assignment has no live grant."""

    code = "not_granted"


class NotYetGrantableError(GrantError):
    """An unknown server may still hold the shard from before the coordinator's election."""

    code = "not_yet_grantable"


class KeyNotReleasedError(GrantError):
    """The owner of the shard has not yet released the key."""

    code = "key_not_released"


class EpochsPendingError(GrantError):
    """The coordinator has lost its grants and waits for new epochs from control."""

    code = "epochs_pending"


class NoOwnerInDomainError(OwnershipError):
    """No usable owner of the key is known in a failure domain; another domain may have one."""

    code = "no_owner_in_domain"


class ViewStaleError(NoOwnerInDomainError):
    """The owner is known, but its session has ended in this entry's view."""

    code = "owner_view_stale"
