"""Discovery of the leader of the control processes by an entry process.

Handles an unresponsive leader and an entry process that is partitioned from most control processes.
In the first case, the new leader is searched for among the other control processes. In the second,
the entry process can't serve anyone, so it sends its callers to other entry processes in time.
"""

import math
from collections.abc import Iterable

__all__ = ["LeaderSearch"]

# The entry process counts as connected for this long after the leader's last answer.
CONNECTED_S = 2.5
# Followers name a failed leader until their election timeout of 0.5 to 0.85 s expires.
SUSPICION_S = 0.5
# An election takes up to 0.85 s, and its winner is found within another probe of 0.4 s.
ELECTION_S = 1.5


class LeaderSearch:
    """Tracks the leader and the members from the answers of the control processes.

    Args:
      control: configured peer addresses of control processes. They may be outdated, because
        answers contain the current members of the group.
      now: the current time.
    """

    def __init__(self, control: Iterable[str], now: float) -> None:
        self.started_at = now
        self.control = tuple(control)
        self.known = list(self.control)
        self.leader: str | None = None
        self.answered_at: float | None = None
        self.is_partitioned = False
        self.suspected_until: dict[str, float] = {}

    def is_connected(self, now: float) -> bool:
        """Return whether a leader answered recently."""
        is_recent = self.answered_at is not None and now - self.answered_at < CONNECTED_S
        return is_recent and not self.is_partitioned

    def replace_control(self, control: Iterable[str]) -> None:
        """Replace the configured addresses."""
        self.control = tuple(control)
        self.update_members(self.known)

    def update_members(self, members: Iterable[str]) -> None:
        """Set the addresses of the group's members.

        The configured addresses are kept, in case all known members have been replaced.
        """
        known = dict.fromkeys(members)
        if known:
            self.known = list(known | dict.fromkeys(self.control))

    def record_answer(self, address: str, members: Iterable[str], now: float) -> None:
        """Record an answer of the leader."""
        self.leader = address
        self.answered_at = now
        self.is_partitioned = False
        self.suspected_until.pop(address, None)
        self.update_members(members)

    def record_redirect(
        self, address: str, leader: str, members: Iterable[str], now: float
    ) -> None:
        """Record the leader named by a control process that is not the leader; it may be empty.

        A leader that has just failed to answer is not accepted again for `SUSPICION_S`.
        """
        self.update_members(members)
        is_suspected = now < self.suspected_until.get(leader, -math.inf)
        if leader and leader != address and not is_suspected:
            self.leader = leader
        elif self.leader == address:
            self.leader = None

    def record_no_answer(self, address: str, now: float) -> bool:
        """Record that a call got no answer; return whether it was sent to the leader."""
        self.suspected_until[address] = now + SUSPICION_S
        if self.leader != address:
            return False
        self.leader = None
        return True

    def record_failed_search(self, responsive: int, unresponsive: int, now: float) -> None:
        """Record that no leader was found among the control processes.

        Those that respond may be a minority that can't elect a leader while the others have one.
        This can be distinguished from an election only after `ELECTION_S`. If none responds, no
        wait is needed.
        """
        leaderless_s = now - (self.started_at if self.answered_at is None else self.answered_at)
        self.is_partitioned = not responsive or (unresponsive > 0 and leaderless_s >= ELECTION_S)
