"""Demand that peaks in rotation, and queues that serve it, in virtual time."""

import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from marigolddoor_core.fleet import Demand
from marigolddoor_core.ids import ServiceId

__all__ = ["FluidQueue", "RotatingDemand", "on_time_ratio"]

BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
DEADLINE_S = 10.0


class RotatingDemand:
    """One service at a time demands 5 times its mean, in rotation; the others a twentieth."""

    def __init__(
        self, mean_slots: Mapping[ServiceId, float], seed: int, burst_s: tuple[float, float]
    ) -> None:
        self.mean_slots = mean_slots
        self.random = random.Random(seed)
        self.burst_s = burst_s
        self.order: list[ServiceId] = list(mean_slots)
        self.peak_index = 0
        self.peak_ends_s = float("-inf")

    def at(self, now_s: float) -> dict[ServiceId, float]:
        """Return the slots that each service demands; `now_s` must not decrease."""
        if now_s >= self.peak_ends_s:
            self.peak_index = (self.peak_index + 1) % len(self.order)
            self.peak_ends_s = now_s + self.random.uniform(*self.burst_s)
        peak_service = self.order[self.peak_index]
        return {
            service: mean * (BURST_FACTOR if service == peak_service else QUIET_FACTOR)
            for service, mean in self.mean_slots.items()
        }


@dataclass
class FluidQueue:
    """A queue of work in slot-seconds, where a request holds a slot for 1 s.

    Work that is not served by its deadline is refused and counts as late.
    """

    waiting: deque[tuple[float, float]] = field(default_factory=deque)
    on_time: float = 0.0
    late: float = 0.0

    def step(self, now_s: float, offered: float, slots: float) -> Demand:
        """Serve one second of demand and return the report that an entry process would send."""
        self.waiting.append((now_s, offered))
        refused = 0.0
        while self.waiting and now_s - self.waiting[0][0] > DEADLINE_S:
            refused += self.waiting.popleft()[1]
        free_slots = slots
        while self.waiting and free_slots > 1e-9:
            arrived_s, work = self.waiting.popleft()
            served = min(work, free_slots)
            free_slots -= served
            if served < work:
                self.waiting.appendleft((arrived_s, work - served))
        served = slots - free_slots
        self.on_time += served
        self.late += refused
        queued = sum(work for _, work in self.waiting)
        return Demand(1.0, round(offered), round(served), round(refused), 0, round(queued), served)


def on_time_ratio(queues: Sequence[FluidQueue]) -> float:
    """Return the share of the work that was served by its deadline."""
    on_time = sum(queue.on_time for queue in queues)
    return on_time / (on_time + sum(queue.late for queue in queues))
