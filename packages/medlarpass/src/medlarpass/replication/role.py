"""Roles of a replica."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """Role in the current term; a learner is a follower that does not count in majorities."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
