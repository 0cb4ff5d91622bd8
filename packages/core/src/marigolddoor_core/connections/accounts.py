"""What is held for one connection, and how it progresses."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

__all__ = ["Account", "ConnectionId", "ConnectionPhase"]

ConnectionId = NewType("ConnectionId", int)


class ConnectionPhase(Enum):
    """What a connection waits for.

    `NEW`: the first request. `IDLE`: the next request. `HEAD` and `BODY`: the rest of a request.
    `WORKING`: the answer of this process, so that nothing is asked of the client. `SENDING`: the
    client has to read answers. `CLOSING`: the client has to read the last answer and close.
    """

    NEW = "new"
    IDLE = "idle"
    HEAD = "head"
    BODY = "body"
    WORKING = "working"
    SENDING = "sending"
    CLOSING = "closing"


@dataclass(slots=True, eq=False)
class Account:
    """The bytes held for a connection. Times are in seconds of a monotonic clock.

    `phase_since` is when the phase began, `progressed_at` when the client last sent or read
    something, and `progress_bytes` how much it sent or read in this phase.
    """

    id: ConnectionId
    phase_since: float
    progressed_at: float
    phase: ConnectionPhase = ConnectionPhase.NEW
    held_bytes: int = 0
    progress_bytes: int = 0

    def enter(self, phase: ConnectionPhase, now: float) -> None:
        """Begin a phase, unless the connection is in it."""
        if phase is not self.phase:
            self.phase = phase
            self.phase_since = self.progressed_at = now
            self.progress_bytes = 0

    def record_progress(self, size: int, now: float) -> None:
        """Record bytes that the client sent or read."""
        self.progress_bytes += size
        self.progressed_at = now
