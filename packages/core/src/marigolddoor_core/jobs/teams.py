"""Teams: groups of callers with keys, a quota and a weight."""

import hashlib
from dataclasses import dataclass
from typing import NewType

from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs.specs import TaskSize

__all__ = ["NO_KEY", "NO_TEAM", "KeyDigest", "TeamSettings", "digest_key"]

KeyDigest = NewType("KeyDigest", bytes)
# Stands for a call without a key. No key has this digest.
NO_KEY = KeyDigest(b"")
# The team of jobs that were submitted without a key.
NO_TEAM = TeamId("")


def digest_key(key: str) -> KeyDigest:
    """Return the SHA-256 digest that stands for a key in messages and in memory.

    Keys are compared, sent and indexed by their digests, so that a log line or a memory dump of a
    process does not disclose them.
    """
    return KeyDigest(hashlib.sha256(key.encode()).digest())


@dataclass(frozen=True, slots=True)
class TeamSettings:
    """A team: its keys, its share when room is short, and what it may have running.

    `quota` bounds the sum of its running tasks over all executors; 0 in a field means no limit.

    Example:
      >>> team = TeamSettings(TeamId("renewals"), (digest_key("k1"),), 2.0, TaskSize(8000))
      >>> team.quota.cpu_milli
      8000
    """

    name: TeamId
    keys: tuple[KeyDigest, ...] = ()
    weight: float = 1.0
    quota: TaskSize = TaskSize()
