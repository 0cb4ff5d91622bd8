"""Where the leader of the control processes is, as an entry process knows it.

Answers a leader that falls silent and an entry process that is cut off from most control processes.
The first is looked for among the others; the second can serve nobody, so its callers are better
sent to other entry processes while they still have time.
"""

import math
from collections.abc import Iterable

__all__ = ["LeaderSearch"]

# The leader counts as connected for this long after its last answer.
CONNECTED_S = 2.5
# Followers name a lost leader until their election time-out of 0.5 to 0.85 s is over.
SUSPICION_S = 0.5
# An election takes up to 0.85 s, and its winner is found within another probe of 0.4 s.
ELECTION_S = 1.5


class LeaderSearch:
    """Follows the answers of the control processes.

    Args:
      control: peer addresses of control processes to begin with. The members of the group are
        learned from answers, so these may be out of date.
      now: the time.
    """

    def __init__(self, control: Iterable[str], now: float) -> None:
        self.began_at = now
        self.control = tuple(control)
        self.known = list(self.control)
        self.leader: str | None = None
        self.answered_at: float | None = None
        self.is_cut_off = False
        self.suspected_until: dict[str, float] = {}

    def is_connected(self, now: float) -> bool:
        """Return whether a leader answered lately."""
        is_recent = self.answered_at is not None and now - self.answered_at < CONNECTED_S
        return is_recent and not self.is_cut_off

    def replace_control(self, control: Iterable[str]) -> None:
        """Use other control processes to begin with."""
        self.control = tuple(control)
        self.learn(self.known)

    def learn(self, members: Iterable[str]) -> None:
        """Take the addresses of the group's members.

        The addresses of the settings stay, for the case that all known members were replaced.
        """
        known = dict.fromkeys(members)
        if known:
            self.known = list(known | dict.fromkeys(self.control))

    def answered(self, address: str, members: Iterable[str], now: float) -> None:
        """Take an answer of the leader."""
        self.leader = address
        self.answered_at = now
        self.is_cut_off = False
        self.suspected_until.pop(address, None)
        self.learn(members)

    def redirected(self, address: str, leader: str, members: Iterable[str], now: float) -> None:
        """Take the word of a control process that does not lead; `leader` may be empty.

        A leader that did not answer just now is not believed in again for a moment.
        """
        self.learn(members)
        is_suspected = now < self.suspected_until.get(leader, -math.inf)
        if leader and leader != address and not is_suspected:
            self.leader = leader
        elif self.leader == address:
            self.leader = None

    def lost(self, address: str, now: float) -> bool:
        """Take note that a call got no answer; return whether that was the leader."""
        self.suspected_until[address] = now + SUSPICION_S
        if self.leader != address:
            return False
        self.leader = None
        return True

    def searched(self, reacting: int, silent: int, now: float) -> None:
        """Take note that no leader was found among the control processes.

        Those that react may be a minority that elects nobody while the others lead and serve. That
        takes longer to tell from an election than if none of them reacts.
        """
        leaderless_s = now - (self.began_at if self.answered_at is None else self.answered_at)
        self.is_cut_off = not reacting or (silent > 0 and leaderless_s >= ELECTION_S)
