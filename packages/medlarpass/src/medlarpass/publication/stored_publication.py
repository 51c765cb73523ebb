"""Publications as the control log holds them."""

from __future__ import annotations

import zlib

from medlarpass.rpc import control_pb2

#: Level of zlib; higher levels take longer and save little on JSON.
PACKING = 1


def stored(version: int, document: bytes, source: bytes) -> control_pb2.Publish:
    """Return the command that puts a publication in force.

    Both texts repeat the same keys for each of thousands of routes. Compressed, they fit into a
    record of the log and cost each replica a fraction of the bytes.

    :param document: JSON text of the publication
    :param source: text of the operator
    """
    return control_pb2.Publish(
        version=version,
        document=zlib.compress(document, PACKING),
        source=zlib.compress(source, PACKING),
        is_packed=True,
    )


def document_of(publish: control_pb2.Publish) -> bytes:
    """Return the JSON text of a stored publication."""
    return zlib.decompress(publish.document) if publish.is_packed else publish.document


def source_of(publish: control_pb2.Publish) -> bytes:
    """Return the text of the operator."""
    return zlib.decompress(publish.source) if publish.is_packed else publish.source
