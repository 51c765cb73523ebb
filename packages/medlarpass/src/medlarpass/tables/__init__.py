"""Configuration tables of routes and pools, changed by operators."""

from __future__ import annotations

from medlarpass.tables.audit_trail import AuditTrail
from medlarpass.tables.change_history import ChangeHistory
from medlarpass.tables.configuration_table import ConfigurationTable
from medlarpass.tables.exceptions import AmbiguousRouteError
from medlarpass.tables.exceptions import ChangeIdReusedError
from medlarpass.tables.exceptions import InvalidDocumentError
from medlarpass.tables.exceptions import MissingKeyError
from medlarpass.tables.exceptions import MissingPoolError
from medlarpass.tables.exceptions import PoolInUseError
from medlarpass.tables.exceptions import PoolNotOwnedError
from medlarpass.tables.exceptions import PoolShapeFixedError
from medlarpass.tables.exceptions import RouteNotFoundError
from medlarpass.tables.exceptions import TableError
from medlarpass.tables.exceptions import VersionConflictError
from medlarpass.tables.key_source import KeySource
from medlarpass.tables.pool import Pool
from medlarpass.tables.request_class import RequestClass
from medlarpass.tables.route import Route
from medlarpass.tables.route_matcher import RouteMatch
from medlarpass.tables.route_matcher import RouteMatcher

__all__ = [
    "AmbiguousRouteError",
    "AuditTrail",
    "ChangeHistory",
    "ChangeIdReusedError",
    "ConfigurationTable",
    "InvalidDocumentError",
    "KeySource",
    "MissingKeyError",
    "MissingPoolError",
    "Pool",
    "PoolInUseError",
    "PoolNotOwnedError",
    "PoolShapeFixedError",
    "RequestClass",
    "Route",
    "RouteMatch",
    "RouteMatcher",
    "RouteNotFoundError",
    "TableError",
    "VersionConflictError",
]
