"""The roles of a replica."""

from enum import Enum

__all__ = ["Role"]


class Role(Enum):
    """The role of a replica in its term. A learner is a follower that is not a voter."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    # A write failed. The replica neither votes nor acknowledges until its process restarts.
    HALTED = "halted"
