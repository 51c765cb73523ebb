"""Guards against bodies that pass validation in the API and then make a replica fail."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from medlarpass import MedlarpassError
from medlarpass.control import ControlState
from medlarpass.rpc import control_pb2
from medlarpass_daemon.control.operators import OperatorCallError
from medlarpass_daemon.control.operators import body

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=12,
)
KEYS = [
    "host",
    "path",
    "methods",
    "class",
    "key",
    "from",
    "name",
    "pool",
    "deadline_ms",
    "limits",
    "concurrency",
    "queue",
    "body_bytes",
    "owned",
    "shards",
    "delegation_term_ms",
    "moves_per_minute",
    "favours",
]
DOCUMENTS = st.dictionaries(
    st.sampled_from(KEYS) | st.text(max_size=8),
    JSON | st.dictionaries(st.sampled_from(KEYS), JSON, max_size=3),
    max_size=6,
)
SCHEMAS = (
    body.PUT_SCHEMA,
    body.DELETE_SCHEMA,
    body.CHANGES_SCHEMA,
    body.EMPTY_SCHEMA,
    body.REPLICA_SCHEMA,
)


@given(st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_content_is_parsed_or_refused_with_a_typed_error(content: bytes) -> None:
    try:
        document = body.parse_json(content)
        body.check_values(document)
        for schema in SCHEMAS:
            body.validate_body(schema, document)
    except OperatorCallError as error:
        error.message.encode()


@given(st.sampled_from([control_pb2.ITEM_KIND_ROUTE, control_pb2.ITEM_KIND_POOL]), DOCUMENTS)
def test_document_that_passes_the_interface_is_decided_by_the_state(kind, document) -> None:
    state = ControlState()
    try:
        parsed = body.parse_json(json.dumps(document).encode())
        body.check_values(parsed)
        text = body.serialize_document("a", parsed)
    except OperatorCallError:
        return
    item = control_pb2.ItemChange(kind=kind, name="a", expected_version=0, document=text)
    change = control_pb2.ApplyChange(change_id="c", items=[item])
    command = control_pb2.Command(apply_change=change)
    try:
        state.apply(1, command.SerializeToString())
    except MedlarpassError as error:
        raise AssertionError(
            "the state machine must return a result, not raise an error"
        ) from error
    assert len(state.tables.audit.records) == 1
