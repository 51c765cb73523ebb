"""Log events of the process."""

from __future__ import annotations

from medlarpass import Event

PROCESS_STARTED = Event(1000, "process_started")
STOP_REQUESTED = Event(1001, "stop_requested")
STOP_ABANDONED = Event(1002, "stop_abandoned")
PROCESS_STOPPED = Event(1003, "process_stopped")
STORAGE_FAILED = Event(1004, "process_storage_failed")
SETTINGS_RELOADED = Event(1006, "settings_reloaded")
SETTINGS_INVALID = Event(1007, "settings_invalid")
DESCRIPTORS_LIMITED = Event(1008, "descriptors_limited")
TASK_FAILED = Event(1005, "task_failed")
LOOP_LATE = Event(1009, "loop_late")
RESPONSE_TOO_LARGE = Event(1010, "response_too_large")
