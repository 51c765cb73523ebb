from __future__ import annotations

import pytest

from multidict import CIMultiDict
from multidict import CIMultiDictProxy

from medlarpass import MedlarpassError
from medlarpass_daemon.entry.callers.exceptions import AnswerLostError
from medlarpass_daemon.entry.callers.exceptions import CrossedAnswerError
from medlarpass_daemon.entry.callers.exceptions import DeadlineExceededError
from medlarpass_daemon.entry.callers.exceptions import DeadlineOutcomeUnknownError
from medlarpass_daemon.entry.callers.exceptions import NoOwnerError
from medlarpass_daemon.entry.callers.exceptions import ServerRefusedError
from medlarpass_daemon.entry.callers.interfaces import Target
from medlarpass_platform import names
from medlarpass_platform.platform_dialect import PlatformDialect

DIALECT = PlatformDialect()
SIGNED = {names.SIGNATURE: "3e1b", names.REQUEST_ID: "a1"}


def received(**headers: str) -> CIMultiDictProxy[str]:
    """Return the headers of a request; underscores in names stand for hyphens."""
    return CIMultiDictProxy(
        CIMultiDict({name.replace("_", "-"): value for name, value in headers.items()})
    )


def response_headers(headers: dict[str, str]) -> CIMultiDictProxy[str]:
    """Return the headers of a response."""
    return CIMultiDictProxy(CIMultiDict(headers))


def test_a_signed_response_passes() -> None:
    """Guards against discarding valid responses of servers."""
    DIALECT.check_response(200, response_headers(SIGNED), "a1")
    DIALECT.check_response(500, response_headers(SIGNED), "a1")


@pytest.mark.parametrize("status", [200, 404, 500])
def test_an_unsigned_response_is_refused(status: int) -> None:
    """Guards against forwarding the bytes of a faulty server as its response."""
    with pytest.raises(AnswerLostError):
        DIALECT.check_response(status, response_headers({names.REQUEST_ID: "a1"}), "a1")


def test_an_encoded_response_is_refused() -> None:
    """Guards against forwarding a body that was re-encoded on the way from the server."""
    with pytest.raises(AnswerLostError):
        DIALECT.check_response(200, response_headers({**SIGNED, "Content-Encoding": "gzip"}), "a1")


def test_a_response_to_another_request_is_crossed() -> None:
    """Guards against a caller that receives the response to another caller's request."""
    with pytest.raises(CrossedAnswerError):
        DIALECT.check_response(200, response_headers({**SIGNED, names.REQUEST_ID: "b2"}), "a1")


@pytest.mark.parametrize(("status", "refusal"), [(503, "shedding"), (421, "not-owner")])
def test_a_refusal_with_proof_was_not_run(status: int, refusal: str) -> None:
    """Guards against a refused request that is not retried at another server."""
    with pytest.raises(ServerRefusedError) as caught:
        DIALECT.check_response(status, response_headers({names.NOT_RUN: "1"}), "a1")
    assert caught.value.refusal == refusal


@pytest.mark.parametrize("status", [408, 429, 503])
def test_a_not_run_status_without_proof_is_not_forwarded(status: int) -> None:
    """Guards against telling a caller that an order was not run although it may have been."""
    with pytest.raises(AnswerLostError):
        DIALECT.check_response(status, response_headers(SIGNED), "a1")


@pytest.mark.parametrize(
    ("error", "may_have_run", "status"),
    [
        (NoOwnerError(""), False, 503),
        (DeadlineExceededError(""), False, 503),
        (NoOwnerError(""), True, 502),
        (DeadlineOutcomeUnknownError(""), False, 504),
        (AnswerLostError(""), False, 502),
        (MedlarpassError(""), False, 502),
    ],
)
def test_only_requests_that_were_not_run_are_reported_so(
    error: MedlarpassError, may_have_run: bool, status: int
) -> None:
    """Guards against a status that denies execution of a request that may have run."""
    response = DIALECT.error_response(error, "a1", may_have_run)
    assert response.status == status
    assert ("Retry-After" in response.headers) == (status == 503)


def test_a_server_gets_the_end_to_end_headers() -> None:
    """Guards against headers with which a caller could impersonate the entry."""
    target = Target("i-7", 1, "10.0.0.1", 80, 3, 100)
    sent = DIALECT.request_headers(
        received(
            Host="rolls.example",
            Medlarpass_Attempt_Id="a1",
            Medlarpass_Shard_Key="17",
            Medlarpass_Expected_Instance="i-1",
            Medlarpass_Deadline_Ms="5",
            Connection="keep-alive, X-Own",
            X_Own="1",
            X_Other="2",
            Transfer_Encoding="chunked",
        ),
        "a1",
        "10.9.9.9",
        "http",
        target,
    )
    DIALECT.set_deadline(sent, 0.25)
    assert dict(sent) == {
        "Host": "rolls.example",
        "Medlarpass-Attempt-Id": "a1",
        "Medlarpass-Shard-Key": "17",
        "X-Other": "2",
        "Medlarpass-Expected-Instance": "i-7",
        "Medlarpass-Deadline-Ms": "250",
    }


def test_a_caller_gets_the_signature_of_the_server() -> None:
    """Guards against a response that callers reject because its signature is missing."""
    forwarded = DIALECT.response_headers(
        response_headers({**SIGNED, "Keep-Alive": "timeout=5"}), "a1"
    )
    assert dict(forwarded) == SIGNED


def test_notices_of_a_server_are_read() -> None:
    """Guards against requests to a server that leaves or wants none."""
    assert DIALECT.is_leaving(response_headers({**SIGNED, "Server-Leaving": "1"}))
    assert not DIALECT.is_leaving(response_headers(SIGNED))
    assert DIALECT.pause_of(503, response_headers({"Retry-After": "1.5"})) == "1.5"
    assert DIALECT.pause_of(503, response_headers(SIGNED)) is None
    assert DIALECT.pause_of(200, response_headers({"Retry-After": "1.5"})) is None


def test_the_load_of_a_server_is_passed_on_as_written() -> None:
    """Guards against a dialect that decides which load reports are valid."""
    assert DIALECT.load_of(response_headers(SIGNED)) is None
    assert DIALECT.load_of(response_headers({names.SERVER_LOAD: "2,0,3,140"})) == "2,0,3,140"
    twice = CIMultiDict([(names.SERVER_LOAD, "full"), (names.SERVER_LOAD, "2,0,3")])
    assert DIALECT.load_of(CIMultiDictProxy(twice)) == "full,2,0,3"
