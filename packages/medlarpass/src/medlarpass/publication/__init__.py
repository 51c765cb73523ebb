"""Routes and pools that operators replace as a whole; the highest version is in force."""

from __future__ import annotations

from medlarpass.publication.caller_limits import CallerLimits
from medlarpass.publication.exceptions import InvalidPublicationError
from medlarpass.publication.exceptions import PublicationError
from medlarpass.publication.known_routes import with_known_routes
from medlarpass.publication.prefix_matcher import PrefixMatcher
from medlarpass.publication.publication import Publication
from medlarpass.publication.publication_change import PublicationChange
from medlarpass.publication.published_pool import PublishedPool
from medlarpass.publication.published_route import PoolShare
from medlarpass.publication.published_route import PublishedRoute
from medlarpass.publication.stored_publication import document_of
from medlarpass.publication.stored_publication import source_of
from medlarpass.publication.stored_publication import stored

__all__ = [
    "CallerLimits",
    "InvalidPublicationError",
    "PoolShare",
    "PrefixMatcher",
    "Publication",
    "PublicationChange",
    "PublicationError",
    "PublishedPool",
    "PublishedRoute",
    "document_of",
    "source_of",
    "stored",
    "with_known_routes",
]
