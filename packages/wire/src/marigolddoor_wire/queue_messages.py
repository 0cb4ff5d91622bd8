"""Messages between entry processes and control processes about queues of jobs."""

from dataclasses import dataclass

from marigolddoor_core.queue_calls import QueueCall, QueueReply

__all__ = ["AskQueue", "NotLeading", "QueueAnswer"]


@dataclass(frozen=True, slots=True)
class AskQueue:
    """A caller's request for the leader."""

    call: QueueCall


@dataclass(frozen=True, slots=True)
class QueueAnswer:
    """The leader's reply. `members` are the peer addresses of the control processes."""

    reply: QueueReply
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotLeading:
    """Nothing was done. `leader` is the peer address of the leader, empty if it is not known."""

    leader: str
    members: tuple[str, ...]
