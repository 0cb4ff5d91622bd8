"""Messages between entry and control processes about job queues."""

from dataclasses import dataclass

from marigolddoor_core.queue_calls import QueueCall, QueueReply

__all__ = ["AskQueue", "NotLeading", "QueueAnswer"]


@dataclass(frozen=True, slots=True)
class AskQueue:
    """A caller's request, forwarded to the leader."""

    call: QueueCall


@dataclass(frozen=True, slots=True)
class QueueAnswer:
    """The leader's reply. `members` are the peer addresses of the control processes."""

    reply: QueueReply
    members: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotLeading:
    """The receiver is not the leader and did nothing. `leader` is a peer address, or empty."""

    leader: str
    members: tuple[str, ...]
