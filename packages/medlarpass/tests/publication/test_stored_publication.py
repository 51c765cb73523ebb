from __future__ import annotations

from medlarpass.publication import compress_publication
from medlarpass.publication import decompress_document
from medlarpass.publication import decompress_source
from medlarpass.rpc import control_pb2


def test_both_texts_are_restored() -> None:
    """Guards against reading a text that differs from what the operator sent."""
    publish = compress_publication(7, b'{"version":7}', b'{"version":"r7"}')
    again = control_pb2.Publish.FromString(publish.SerializeToString())
    assert (again.version, decompress_document(again)) == (7, b'{"version":7}')
    assert decompress_source(again) == b'{"version":"r7"}'


def test_a_record_of_an_earlier_release_is_read() -> None:
    """Guards against a replica that can't read its log after an upgrade."""
    publish = control_pb2.Publish(version=7, document=b"{}", source=b"text")
    assert (decompress_document(publish), decompress_source(publish)) == (b"{}", b"text")
