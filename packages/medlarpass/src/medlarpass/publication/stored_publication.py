"""Compressed form of publications in the control log."""

from __future__ import annotations

import zlib

from medlarpass.rpc import control_pb2

#: Level of zlib; higher levels are slower and save little on JSON.
COMPRESSION_LEVEL = 1


def compress_publication(version: int, document: bytes, source: bytes) -> control_pb2.Publish:
    """Return the command that puts a publication in force.

    Both texts repeat the same keys for thousands of routes. Compressed, they fit into a record of
    the log and take a fraction of the bytes at each replica.

    :param document: JSON text of the publication
    :param source: text that the operator sent
    """
    return control_pb2.Publish(
        version=version,
        document=zlib.compress(document, COMPRESSION_LEVEL),
        source=zlib.compress(source, COMPRESSION_LEVEL),
        is_packed=True,
    )


def decompress_document(publish: control_pb2.Publish) -> bytes:
    """Return the JSON text of a publication in the log."""
    return zlib.decompress(publish.document) if publish.is_packed else publish.document


def decompress_source(publish: control_pb2.Publish) -> bytes:
    """Return the text that the operator sent."""
    return zlib.decompress(publish.source) if publish.is_packed else publish.source
