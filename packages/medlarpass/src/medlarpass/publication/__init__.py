"""Routes and pools that operators publish as a whole; the highest version is in force."""

from __future__ import annotations

from medlarpass.publication.caller_limits import CallerLimits
from medlarpass.publication.exceptions import InvalidPublicationError
from medlarpass.publication.exceptions import PublicationError
from medlarpass.publication.known_routes import reuse_known_routes
from medlarpass.publication.prefix_matcher import PrefixMatcher
from medlarpass.publication.publication import Publication
from medlarpass.publication.publication_change import PublicationChange
from medlarpass.publication.published_pool import PublishedPool
from medlarpass.publication.published_route import PoolShare
from medlarpass.publication.published_route import PublishedRoute
from medlarpass.publication.stored_publication import compress_publication
from medlarpass.publication.stored_publication import decompress_document
from medlarpass.publication.stored_publication import decompress_source

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
    "compress_publication",
    "decompress_document",
    "decompress_source",
    "reuse_known_routes",
]
