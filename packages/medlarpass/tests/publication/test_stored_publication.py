from __future__ import annotations

from medlarpass.publication import document_of
from medlarpass.publication import source_of
from medlarpass.publication import stored
from medlarpass.rpc import control_pb2


def test_both_texts_come_back() -> None:
    """Guards against a read that returns something else than the operator sent."""
    publish = stored(7, b'{"version":7}', b'{"version":"r7"}')
    again = control_pb2.Publish.FromString(publish.SerializeToString())
    assert (again.version, document_of(again)) == (7, b'{"version":7}')
    assert source_of(again) == b'{"version":"r7"}'


def test_a_record_of_an_earlier_release_is_read() -> None:
    """Guards against a replica that can't read its log after an update."""
    publish = control_pb2.Publish(version=7, document=b"{}", source=b"text")
    assert (document_of(publish), source_of(publish)) == (b"{}", b"text")
