"""Log events of the request path, numbers 4100 to 4199 and from 5135."""

from __future__ import annotations

from medlarpass import Event

UNEXPECTED_ERROR = Event(4100, "request_failed_unexpectedly")
CLAIM_UPDATE_DELAYED = Event(4101, "claim_update_delayed")
REQUEST_ENDED = Event(4110, "request_ended")
ATTEMPT_FAILED = Event(4111, "attempt_failed")
UNEXPECTED_BYTES = Event(4103, "server_sent_unasked_bytes")
SERVER_LEAVING = Event(4104, "server_leaving")
SERVER_PAUSED = Event(4105, "server_paused")
INVALID_PAUSE = Event(4106, "server_pause_invalid")
TRAFFIC_PLAN_OUTDATED = Event(5130, "traffic_plan_outdated")
DOMAIN_WITHOUT_SERVERS = Event(5131, "domain_without_servers")
INVALID_LOAD = Event(5135, "server_load_invalid")
ANSWER_ABORTED = Event(4102, "answer_aborted")
