"""Baseline routing policy: the target with the most free slots, regardless of failures."""

import random
from collections.abc import Sequence

from marigolddoor_core.ids import PoolId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.retries import AttemptEnd
from marigolddoor_core.routing.policies import Dispatch, TargetView
from marigolddoor_core.targets import TargetState

__all__ = ["LeastLoaded"]


class LeastLoaded:
    """Prefers free targets, and therefore a target that fails immediately."""

    def __init__(self) -> None:
        self.targets: dict[PoolId, dict[VmId, TargetView]] = {}
        self.in_flight: dict[VmId, int] = {}

    def update(self, pool: PoolId, targets: Sequence[TargetView], max_unavailable: int) -> None:
        """Replace the targets of a pool."""
        self.targets[pool] = {view.vm: view for view in targets}

    def choose(
        self, pool: PoolId, now: Instant, rng: random.Random, exclude: frozenset[VmId] = frozenset()
    ) -> Dispatch | None:
        """Return an attempt on the target with the most free slots."""
        ready = [
            view
            for view in self.targets.get(pool, {}).values()
            if view.state is TargetState.READY and view.vm not in exclude
        ]
        if not ready:
            return None
        rng.shuffle(ready)
        view = max(ready, key=lambda each: each.slots - self.in_flight.get(each.vm, 0))
        self.in_flight[view.vm] = self.in_flight.get(view.vm, 0) + 1
        return Dispatch(view.vm, view.pool, view.address, view.epoch)

    def finish(
        self, dispatch: Dispatch, end: AttemptEnd, failed: bool, latency_s: float, now: Instant
    ) -> None:
        """Free the slot."""
        self.in_flight[dispatch.vm] = max(0, self.in_flight.get(dispatch.vm, 0) - 1)

    def refused(self, dispatch: Dispatch) -> None:
        """Ignore the refusal."""
