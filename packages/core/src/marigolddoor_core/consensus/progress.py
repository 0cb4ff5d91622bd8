"""The leader's view of the log of one peer."""

from collections import deque
from enum import Enum

from marigolddoor_core.consensus.snapshot_transfer import SnapshotTransfer
from marigolddoor_core.ids import LogIndex

__all__ = ["MAX_IN_FLIGHT", "Progress", "ProgressState"]

# Limit of messages with entries that await a reply of a peer. As proposals are sent in batches, a
# few are enough to keep a connection with a latency of some milliseconds busy.
MAX_IN_FLIGHT = 8


class ProgressState(Enum):
    """The way in which the leader sends to a peer."""

    # The match index is unknown, so only one message is in flight.
    PROBE = "probe"
    REPLICATE = "replicate"
    SNAPSHOT = "snapshot"


class Progress:
    """The state of the replication to one peer."""

    def __init__(self, next_index: LogIndex) -> None:
        self.match_index = LogIndex(0)
        self.next_index = next_index
        self.state = ProgressState.PROBE
        # Entries were sent as a probe. If they are lost, the reply to an empty heartbeat ends the
        # probe; an unresponsive peer must not get the same entries with every heartbeat.
        self.probe_sent = False
        # The last index of each message with entries that awaits a reply.
        self.in_flight: deque[LogIndex] = deque()
        self.transfer: SnapshotTransfer | None = None

    def can_send_entries(self) -> bool:
        """Return whether another message with entries may be sent."""
        if self.state is ProgressState.PROBE:
            return not self.probe_sent
        return self.state is ProgressState.REPLICATE and len(self.in_flight) < MAX_IN_FLIGHT

    def record_sent(self, last: LogIndex) -> None:
        """Record that a message with entries up to `last` was sent."""
        if self.state is ProgressState.PROBE:
            self.probe_sent = True
            return
        self.in_flight.append(last)
        self.next_index = LogIndex(last + 1)

    def record_accepted(self, match_index: LogIndex) -> None:
        """Record that the logs match up to `match_index`."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = LogIndex(max(self.next_index, self.match_index + 1))
        while self.in_flight and self.in_flight[0] <= self.match_index:
            self.in_flight.popleft()
        if self.state is ProgressState.PROBE:
            self.state = ProgressState.REPLICATE

    def record_rejected(self, previous_index: LogIndex, hint: LogIndex) -> bool:
        """Record a mismatch at `previous_index`; return whether it changes the next message."""
        if previous_index <= self.match_index or self.state is ProgressState.SNAPSHOT:
            return False
        if self.state is ProgressState.PROBE and previous_index != self.next_index - 1:
            # A reply to an earlier probe. A peer that resumes after a pause rejects dozens at once.
            return False
        self.state = ProgressState.PROBE
        self.probe_sent = False
        self.in_flight.clear()
        self.next_index = LogIndex(max(self.match_index, min(hint, previous_index - 1)) + 1)
        return True

    def begin_transfer(self, transfer: SnapshotTransfer) -> None:
        """Switch from entries to the transfer of a snapshot."""
        self.state = ProgressState.SNAPSHOT
        self.in_flight.clear()
        self.transfer = transfer

    def end_transfer(self, index: LogIndex) -> None:
        """Resume with the entries after the snapshot."""
        self.transfer = None
        self.state = ProgressState.PROBE
        self.probe_sent = False
        self.match_index = max(self.match_index, index)
        self.next_index = LogIndex(self.match_index + 1)
