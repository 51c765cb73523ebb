"""Errors of the operators' tables."""

from __future__ import annotations

from medlarpass.exceptions import MedlarpassError
from medlarpass.outcome import Outcome


class TableError(MedlarpassError):
    """A change of the tables or a use of them was refused."""

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
    """A pool that routes still name can't be deleted."""

    code = "pool_in_use"
    http_status = 409


class PoolShapeFixedError(TableError):
    """Ownership and number of shards of a pool name can't change.

    Entries and servers learn of a change at different moments; with two numbers of shards in use
    a key would belong to two shards.
    """

    code = "pool_shape_fixed"
    http_status = 409


class PoolNotOwnedError(TableError):
    """An enquiry route names a pool whose keys have no owners."""

    code = "pool_not_owned"


class AmbiguousRouteError(TableError):
    """Two routes match the same requests equally well."""

    code = "ambiguous_route"


class VersionConflictError(TableError):
    """The expected version of an item is not its present version."""

    code = "version_conflict"
    http_status = 409


class ChangeIdReusedError(TableError):
    """A change id was used before for a change with other contents."""

    code = "change_id_reused"
    http_status = 409


class RouteNotFoundError(TableError):
    """No route matches the request."""

    code = "route_not_found"
    http_status = 404


class MissingKeyError(TableError):
    """The request lacks the key that its route asks for."""

    code = "missing_key"
