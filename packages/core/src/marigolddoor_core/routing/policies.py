"""The interface of routing policies and their view of a target."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.ids import Epoch, PoolId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.retries import AttemptEnd
from marigolddoor_core.targets import TargetState

__all__ = ["Dispatch", "RoutingPolicy", "TargetView"]


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target in the directory of the data centre.

    `busy_slots` is from its latest announcement and includes requests of other entry processes.
    """

    vm: VmId
    pool: PoolId
    address: str
    slots: int
    busy_slots: int
    epoch: Epoch
    state: TargetState
    incarnation: str = ""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """One attempt on one target. The target refuses it if the target's epoch differs."""

    vm: VmId
    pool: PoolId
    address: str
    epoch: Epoch
    probe: bool = False


class RoutingPolicy(Protocol):
    """Chooses a target for each attempt and is notified of the end of each attempt."""

    def update(self, pool: PoolId, targets: Sequence[TargetView], max_unavailable: int) -> None:
        """Replace the targets of a pool."""
        ...

    def choose(
        self, pool: PoolId, now: Instant, rng: random.Random, exclude: frozenset[VmId] = frozenset()
    ) -> Dispatch | None:
        """Return the next attempt and count it as in flight, or None if no target is usable."""
        ...

    def finish(
        self, dispatch: Dispatch, end: AttemptEnd, failed: bool, latency_s: float, now: Instant
    ) -> None:
        """Record the end of an attempt; `failed` means that it counts against the target."""
        ...

    def refused(self, dispatch: Dispatch) -> None:
        """Record that the target refused the epoch or drains; it is unused until it changes."""
        ...
