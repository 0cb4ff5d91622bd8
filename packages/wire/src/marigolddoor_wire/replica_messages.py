"""Messages between control processes whose replicas form one consensus group."""

from dataclasses import dataclass

from marigolddoor_core.consensus.configuration import Member
from marigolddoor_core.consensus.messages import Message
from marigolddoor_core.ids import LogIndex, ReplicaId

__all__ = [
    "AskMembership",
    "Join",
    "MembershipReply",
    "PeerMessage",
    "ReadBarrier",
    "ReadBarrierReply",
]


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of the replica `sender`, whose process listens on `address`.

    A process drops a message whose `recipient` is not its replica: it was sent to an earlier
    replica on the same address, whose data folder was wiped.
    """

    sender: ReplicaId
    recipient: ReplicaId
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Asks the leader for the index that a linearizable read has to include."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class ReadBarrierReply:
    """Every command acknowledged before the request was sent is at or before `index`."""

    index: LogIndex


@dataclass(frozen=True, slots=True)
class AskMembership:
    """Asks another process whether it belongs to a group; sent by a replica without one."""


@dataclass(frozen=True, slots=True)
class MembershipReply:
    """Whether the process belongs to a group, as a member or with a pending request to join."""

    is_member: bool


@dataclass(frozen=True, slots=True)
class Join:
    """Asks the group to add a learner. A member that is not the leader forwards the request."""

    member: Member
