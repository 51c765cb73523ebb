"""Error responses to callers."""

from __future__ import annotations

import json
import math

from aiohttp import web

from medlarpass import MedlarpassError
from medlarpass import Outcome
from medlarpass_daemon.entry.callers import headers

#: Least value of the Retry-After header, which has whole seconds.
MIN_RETRY_AFTER_SECONDS = 1
SERVICE_UNAVAILABLE_STATUS = 503


def outcome_of(error: MedlarpassError, may_have_run: bool) -> Outcome:
    """Return what is known about the execution of a request that ends with an error.

    :param may_have_run: whether an earlier attempt of the request may have run
    """
    if may_have_run and error.outcome is Outcome.NOT_RUN:
        return Outcome.UNKNOWN
    return error.outcome


def error_response(
    error: MedlarpassError, request_id: str, may_have_run: bool = False
) -> web.Response:
    """Return the JSON response for an error.

    :param request_id: id of the request
    :param may_have_run: whether an earlier attempt of the request may have run
    """
    outcome = outcome_of(error, may_have_run)
    document = {
        "code": error.code,
        "message": error.message,
        "request_id": request_id,
        "outcome": outcome.value,
    }
    response = web.Response(
        status=error.http_status,
        text=json.dumps(document),
        content_type="application/json",
        headers={headers.REQUEST_ID: request_id, headers.OUTCOME: outcome.value},
    )
    if error.http_status == SERVICE_UNAVAILABLE_STATUS:
        seconds = max(math.ceil(error.retry_after), MIN_RETRY_AFTER_SECONDS)
        response.headers["Retry-After"] = str(seconds)
    return response
