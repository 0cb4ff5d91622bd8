"""Decides whether suspected targets are dead, or their data centre is unreachable."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.instants import Instant

__all__ = ["FailureDetector"]

# A single target does not distinguish a dead target from an unreachable data centre.
MIN_TARGETS_FOR_UNREACHABLE = 2


@dataclass(slots=True)
class _Suspicion:
    dead_at: Instant | None
    unreachable_from: set[ProcessId] = field(default_factory=set)


class FailureDetector:
    """Tracks which entry processes of a data centre could not reach which targets.

    A target is dead if two entry processes could not reach it, or, if there is only one process,
    if the target is unresponsive for twice the suspicion timeout. If every target is suspected, the
    data centre is unreachable, and no target is considered dead.
    """

    def __init__(self) -> None:
        self._targets: dict[VmId, None] = {}
        self._processes: frozenset[ProcessId] = frozenset()
        self._suspicions: dict[VmId, _Suspicion] = {}
        # Targets confirmed dead that `take_dead` has not returned yet.
        self._pending_dead: dict[VmId, None] = {}
        self._deadlines: list[tuple[Instant, VmId]] = []
        # Targets unresponsive for twice the suspicion timeout; used if there is only one process.
        self._overdue_targets: dict[VmId, None] = {}
        self._dead: dict[VmId, None] = {}

    def add(self, vm: VmId) -> None:
        """Add a target of the data centre."""
        self._targets[vm] = None

    def remove(self, vm: VmId) -> None:
        """Remove a target."""
        self._targets.pop(vm, None)
        self.record_reachable(vm)

    def set_processes(self, processes: Iterable[ProcessId]) -> None:
        """Replace the live entry processes of the data centre, including this one."""
        self._processes = frozenset(processes)

    def suspect(self, vm: VmId, holder: ProcessId, dead_at: Instant | None) -> None:
        """Record that the holder of a target suspects it.

        Args:
          vm: The target.
          holder: The process that holds it.
          dead_at: When the target has been unresponsive for twice the suspicion timeout, or None if
            another process holds it and decides.
        """
        if vm not in self._targets or vm in self._suspicions:
            return
        self._suspicions[vm] = _Suspicion(dead_at, {holder})
        if dead_at is not None:
            heapq.heappush(self._deadlines, (dead_at, vm))

    def record_unreachable(self, vm: VmId, observer: ProcessId) -> None:
        """Record that another entry process could not reach a suspected target."""
        suspicion = self._suspicions.get(vm)
        if suspicion is not None:
            suspicion.unreachable_from.add(observer)
            if len(suspicion.unreachable_from) >= 2 and vm not in self._dead:
                self._pending_dead[vm] = None

    def mark_dead(self, vm: VmId) -> None:
        """Record that the holder of a target has marked it as dead."""
        if vm in self._suspicions:
            self._pending_dead.pop(vm, None)
            self._overdue_targets.pop(vm, None)
            self._dead[vm] = None

    def record_reachable(self, vm: VmId) -> None:
        """Clear the suspicion of a target that announced itself or was reached."""
        self._suspicions.pop(vm, None)
        self._pending_dead.pop(vm, None)
        self._overdue_targets.pop(vm, None)
        self._dead.pop(vm, None)

    def is_data_centre_unreachable(self) -> bool:
        """Return whether every target of the data centre is suspected."""
        count = len(self._targets)
        return count >= MIN_TARGETS_FOR_UNREACHABLE and len(self._suspicions) == count

    def targets_to_probe(self) -> tuple[VmId, ...]:
        """Return the suspected targets that are not dead yet, for other processes to probe."""
        return tuple(vm for vm in self._suspicions if vm not in self._dead)

    def take_dead(self, now: Instant) -> tuple[VmId, ...]:
        """Return the targets that are newly confirmed dead, each once."""
        self._collect_overdue(now)
        if len(self._processes) <= 1:
            self._pending_dead.update(self._overdue_targets)
            self._overdue_targets.clear()
        if self.is_data_centre_unreachable():
            return ()
        dead = tuple(self._pending_dead)
        self._pending_dead.clear()
        self._dead.update(dict.fromkeys(dead))
        return dead

    def next_check(self) -> Instant | None:
        """Return when `take_dead` may return targets without a new report, or None."""
        return self._deadlines[0][0] if self._deadlines else None

    def _collect_overdue(self, now: Instant) -> None:
        while self._deadlines and self._deadlines[0][0] <= now:
            dead_at, vm = heapq.heappop(self._deadlines)
            suspicion = self._suspicions.get(vm)
            is_current = suspicion is not None and suspicion.dead_at == dead_at
            if is_current and vm not in self._dead:
                self._overdue_targets[vm] = None
