"""Errors of the configuration tables."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class TableError(MedlarpassError):
    """A change to the tables or a lookup in them was refused."""

    code = "table_error"
    http_status = 400
    outcome = Outcome.NOT_RUN


class InvalidDocumentError(TableError):
    """A route or pool document has an unknown key, a wrong type or a value out of bounds."""

    code = "invalid_document"


class MissingPoolError(TableError):
    """A route names a pool that does not exist."""

    code = "missing_pool"


class PoolInUseError(TableError):
    """A pool can't be deleted while routes refer to it."""

    code = "pool_in_use"
    http_status = 409


class PoolShapeFixedError(TableError):
    """Ownership and number of shards of a pool can't change, also when it is created again.

    Entries and servers apply a change at different times. While two numbers of shards are in use,
    a key would belong to two shards.
    """

    code = "pool_shape_fixed"
    http_status = 409


class PoolNotOwnedError(TableError):
    """An enquiry route names a pool whose keys have no owners."""

    code = "pool_not_owned"


class AmbiguousRouteError(TableError):
    """Two routes match the same requests with equal precedence."""

    code = "ambiguous_route"


class VersionConflictError(TableError):
    """The expected version of an item is not its current version."""

    code = "version_conflict"
    http_status = 409


class ChangeIdReusedError(TableError):
    """A change id was reused for a change with other contents."""

    code = "change_id_reused"
    http_status = 409


class RouteNotFoundError(TableError):
    """No route matches the request."""

    code = "route_not_found"
    http_status = 404


class MissingKeyError(TableError):
    """The request lacks the key that its route requires."""

    code = "missing_key"
