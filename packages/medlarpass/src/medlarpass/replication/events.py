"""Log events of the replicated log, numbers 2000 to 2099."""

from __future__ import annotations

from medlarpass.events import Event

REPLICA_STARTED = Event(2000, "replica_started")
REPLICA_STOPPED = Event(2001, "replica_stopped")
REPLICA_FAILED = Event(2002, "replica_failed")
IDENTITY_CREATED = Event(2003, "replica_identity_created")
CLUSTER_BOOTSTRAPPED = Event(2004, "cluster_bootstrapped")
ELECTION_STARTED = Event(2010, "election_started")
LEADER_ELECTED = Event(2011, "leader_elected")
LEADER_STEPPED_DOWN = Event(2012, "leader_stepped_down")
QUORUM_LOST = Event(2013, "quorum_lost")
LEADERSHIP_TRANSFER = Event(2014, "leadership_transfer")
APPEND_SLOW = Event(2015, "append_slow")
SNAPSHOT_SAVED = Event(2020, "snapshot_saved")
SNAPSHOT_SENT = Event(2021, "snapshot_sent")
SNAPSHOT_INSTALLED = Event(2022, "snapshot_installed")
LOG_TRUNCATED = Event(2030, "log_truncated")
LOG_TAIL_CUT = Event(2031, "log_tail_cut")
LOG_WRITE_SLOW = Event(2032, "log_write_slow")
MEMBERSHIP_CHANGED = Event(2040, "membership_changed")
LEARNER_PROMOTED = Event(2041, "learner_promoted")
