"""Log events of the replicated log, numbers 2000 to 2099."""

from __future__ import annotations

from medlarpass.events import Event

REPLICA_STARTED = Event(2000, "replica-started")
REPLICA_STOPPED = Event(2001, "replica-stopped")
REPLICA_FAILED = Event(2002, "replica-failed")
IDENTITY_CREATED = Event(2003, "replica-identity-created")
CLUSTER_BOOTSTRAPPED = Event(2004, "cluster-bootstrapped")
ELECTION_STARTED = Event(2010, "election-started")
LEADER_ELECTED = Event(2011, "leader-elected")
LEADER_STEPPED_DOWN = Event(2012, "leader-stepped-down")
QUORUM_LOST = Event(2013, "quorum-lost")
LEADERSHIP_TRANSFER = Event(2014, "leadership-transfer")
SNAPSHOT_SAVED = Event(2020, "snapshot-saved")
SNAPSHOT_SENT = Event(2021, "snapshot-sent")
SNAPSHOT_INSTALLED = Event(2022, "snapshot-installed")
LOG_TRUNCATED = Event(2030, "log-truncated")
LOG_TAIL_CUT = Event(2031, "log-tail-cut")
MEMBERSHIP_CHANGED = Event(2040, "membership-changed")
LEARNER_PROMOTED = Event(2041, "learner-promoted")
