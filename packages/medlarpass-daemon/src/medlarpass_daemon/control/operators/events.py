"""Log events of the operators' API, numbers 700 to 719."""

from __future__ import annotations

from medlarpass import Event

OPERATORS_STARTED = Event(700, "operators_started")
OPERATORS_STOPPED = Event(701, "operators_stopped")
CHANGE_ANSWERED = Event(702, "operator_change_answered")
CALL_UNAUTHENTICATED = Event(703, "operator_call_unauthenticated")
CALL_FAILED = Event(704, "operator_call_failed")
AUDIT_FAILED = Event(705, "operator_audit_failed")
TOKEN_FILE_READ = Event(706, "token_file_read")
TOKEN_FILE_INVALID = Event(707, "token_file_invalid")
