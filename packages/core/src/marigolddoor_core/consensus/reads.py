"""Linearizable reads at the leader."""

from dataclasses import dataclass

from marigolddoor_core.consensus.outputs import ReadId
from marigolddoor_core.ids import LogIndex

__all__ = ["PendingRead"]


@dataclass(slots=True)
class PendingRead:
    """A read that waits for proof that the leader still leads.

    The proof is an answer of a quorum to `round`, which began after the read arrived. `index` is
    None until an entry of the leader's own term is committed: before that the leader may not know
    of all committed entries.
    """

    read: ReadId
    round: int
    index: LogIndex | None
