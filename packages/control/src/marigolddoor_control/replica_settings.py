"""Settings of one replica of the consensus group."""

from dataclasses import dataclass, field

from marigolddoor_core.consensus import Timing
from marigolddoor_wire.peers import Address

__all__ = ["ReplicaSettings"]


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of one replica.

    `peers` are the addresses of the other control processes. A majority of the voters must survive
    `losses` simultaneous losses of members. A snapshot is taken when the log since the last one has
    `snapshot_after_bytes`, or the size of that snapshot if it is larger.
    `founders` are the replicas that form the group when the whole system starts for the first time;
    at any other start there are none. With None, `peers` are all other replicas, and one of them
    forms the group. Up to `keep_bytes` of older entries are retained for peers that lag slightly.
    """

    name: str
    address: Address
    peers: tuple[Address, ...] = ()
    losses: int = 1
    founders: tuple[Address, ...] | None = None
    timing: Timing = field(default_factory=Timing)
    snapshot_after_bytes: int = 64 * 1024
    keep_bytes: int = 256 * 1024
