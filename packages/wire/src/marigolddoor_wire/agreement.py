"""Messages between the control processes that run replicas of one consensus group."""

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

    A process whose replica is not `recipient` drops it: it was meant for an incarnation that was
    wiped.
    """

    sender: ReplicaId
    recipient: ReplicaId
    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ReadBarrier:
    """Ask the leader for the index that a linearizable read has to include."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class ReadBarrierReply:
    """Every command that was acknowledged before the question is at or before `index`."""

    index: LogIndex


@dataclass(frozen=True, slots=True)
class AskMembership:
    """A replica without a group asks another process whether it belongs to one."""


@dataclass(frozen=True, slots=True)
class MembershipReply:
    """Whether the process belongs to a group, as a member or as one that asked to join."""

    is_member: bool


@dataclass(frozen=True, slots=True)
class Join:
    """Ask the group to add a learner. Any member passes it on to the leader."""

    member: Member
