"""Linearizable reads at the leader."""

from dataclasses import dataclass

from marigolddoor_core.consensus.outputs import ReadId
from marigolddoor_core.ids import LogIndex

__all__ = ["PendingRead"]


@dataclass(slots=True)
class PendingRead:
    """A read that waits until the leader has confirmed its leadership.

    It is confirmed when a quorum has answered `round`, which began after the read arrived. `index`
    is None until an entry of the leader's own term is committed: before that, the commit index of
    the leader may be too low.
    """

    read: ReadId
    round: int
    index: LogIndex | None
