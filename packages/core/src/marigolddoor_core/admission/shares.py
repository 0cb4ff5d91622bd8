"""Divides the slots of a pool among the entry processes, by the demand that they exchange."""

from collections.abc import Mapping
from dataclasses import dataclass

from marigolddoor_core.ids import ProcessId
from marigolddoor_core.instants import Instant

__all__ = ["PeerDemand", "PeerDemands", "divide_slots"]

# A process without demand keeps a small weight, so that its first requests get a slot.
IDLE_WEIGHT = 0.25
# After six missed exchanges a process counts as failed, and the others get its share.
STALE_AFTER_S = 3.0


def divide_slots(slots: int, demand: Mapping[ProcessId, float]) -> dict[ProcessId, int]:
    """Return the slots of each process, in proportion to its demand; the sum is `slots`.

    Each process gets at least one slot if there are enough. The result depends only on the
    arguments, so processes with the same demand data agree on it. Nearly the whole share of an idle
    process goes to the others.

    Example:
      >>> divide_slots(8, {ProcessId("a"): 6.0, ProcessId("b"): 0.0})
      {'a': 7, 'b': 1}
    """
    processes = sorted(demand)
    if not processes or slots <= 0:
        return dict.fromkeys(processes, 0)
    minimum = 1 if slots >= len(processes) else 0
    remaining = slots - minimum * len(processes)
    weights = {process: demand[process] + IDLE_WEIGHT for process in processes}
    total = sum(weights.values())
    exact = {process: remaining * weights[process] / total for process in processes}
    shares = {process: minimum + int(exact[process]) for process in processes}
    unassigned = slots - sum(shares.values())
    by_remainder = sorted(processes, key=lambda process: (int(exact[process]) - exact[process]))
    for process in by_remainder[:unassigned]:
        shares[process] += 1
    return shares


@dataclass(frozen=True, slots=True)
class PeerDemand:
    """The demand of one process in slots, by key, and when it was reported."""

    slots: Mapping[str, float]
    reported: Instant


class PeerDemands:
    """The latest demand of each entry process of the data centre."""

    def __init__(self) -> None:
        self.peers: dict[ProcessId, PeerDemand] = {}

    def report(self, process: ProcessId, slots: Mapping[str, float], now: Instant) -> None:
        """Record the demand of a process in slots, by pool."""
        self.peers[process] = PeerDemand(slots, now)

    def forget_stale(self, now: Instant) -> None:
        """Drop the processes that have not reported for `STALE_AFTER_S` seconds."""
        for process, peer in list(self.peers.items()):
            if now - peer.reported > STALE_AFTER_S:
                del self.peers[process]

    def demand(self, key: str) -> dict[ProcessId, float]:
        """Return the demand of each process for `key`."""
        return {process: peer.slots.get(key, 0.0) for process, peer in self.peers.items()}

    def total(self) -> dict[ProcessId, float]:
        """Return the demand of each process over all keys."""
        return {process: sum(peer.slots.values()) for process, peer in self.peers.items()}
