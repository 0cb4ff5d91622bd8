"""Remembers for a moment which keys the leader refused, so that a repeated call costs it nothing.

It is meant for a caller that repeats calls with a wrong or withdrawn key. It never lets a call
pass: a key that is not remembered is decided by the leader.
"""

from marigolddoor_core.jobs.teams import KeyDigest
from marigolddoor_core.queue_calls import QueueCall

__all__ = ["RefusedKeys"]

# A caller with more wrong keys is refused by the leader. An entry takes some 300 bytes.
MAX_KEYS = 1000


class RefusedKeys:
    """The keys that were refused lately, by the folder of the call: its path up to the job's id.

    Example:
      >>> refused = RefusedKeys()
      >>> refused.add(QueueCall(QueueMethod.READ, "a.example", "/q/1", key=digest_key("x")), 1.0)
      >>> call = QueueCall(QueueMethod.READ, "a.example", "/q/2", key=digest_key("x"))
      >>> refused.holds(call, 0.5), refused.holds(call, 1.5)
      (True, False)
    """

    def __init__(self) -> None:
        # Until when a refusal is repeated; the oldest entry is first.
        self.refused_until: dict[tuple[KeyDigest, str, str], float] = {}

    def add(self, call: QueueCall, until: float) -> None:
        """Remember the refusal of a call."""
        place = _place(call)
        self.refused_until.pop(place, None)
        self.refused_until[place] = until
        if len(self.refused_until) > MAX_KEYS:
            del self.refused_until[next(iter(self.refused_until))]

    def holds(self, call: QueueCall, now: float) -> bool:
        """Return whether the leader's refusal of the call's key is still to be repeated."""
        until = self.refused_until.get(_place(call))
        return until is not None and now < until


def _place(call: QueueCall) -> tuple[KeyDigest, str, str]:
    return call.key, call.host, call.path.rpartition("/")[0]
