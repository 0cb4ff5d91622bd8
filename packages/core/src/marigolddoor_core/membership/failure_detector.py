"""When a suspected target is dead, and when its data centre is cut off instead."""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from marigolddoor_core.ids import ProcessId, VmId
from marigolddoor_core.instants import Instant

__all__ = ["FailureDetector"]

# One target cannot tell a dead target from a cut-off data centre.
FEWEST_FOR_CUT_OFF = 2


@dataclass(slots=True)
class _Suspicion:
    overdue_at: Instant | None
    unreached_by: set[ProcessId] = field(default_factory=set)


class FailureDetector:
    """Collects which entry processes of a data centre could not reach which targets.

    A target is dead if two entry processes could not reach it, or, if there is only one, if it
    stays silent for twice the time that made it suspected. If no target at all can be reached, the
    data centre is cut off, and none is dead.
    """

    def __init__(self) -> None:
        self._targets: dict[VmId, None] = {}
        self._processes: frozenset[ProcessId] = frozenset()
        self._suspicions: dict[VmId, _Suspicion] = {}
        # Suspected targets that enough processes could not reach, but that were not returned yet.
        self._ripe: dict[VmId, None] = {}
        self._overdue: list[tuple[Instant, VmId]] = []
        # Targets that were silent for twice the time; this counts with one observer only.
        self._silent_twice: dict[VmId, None] = {}
        self._dead: dict[VmId, None] = {}

    def join(self, vm: VmId) -> None:
        """Count a target of the data centre."""
        self._targets[vm] = None

    def leave(self, vm: VmId) -> None:
        """Forget a target."""
        self._targets.pop(vm, None)
        self.reached(vm)

    def set_processes(self, processes: Iterable[ProcessId]) -> None:
        """Replace the entry processes of the data centre that are alive, this one included."""
        self._processes = frozenset(processes)

    def suspect(self, vm: VmId, holder: ProcessId, overdue_at: Instant | None) -> None:
        """Record that the holder suspects a target.

        Args:
          vm: The target.
          holder: The process that holds it.
          overdue_at: When the target has been silent for twice the time that makes it suspected,
            or None if another process than this one holds it and decides.
        """
        if vm not in self._targets or vm in self._suspicions:
            return
        self._suspicions[vm] = _Suspicion(overdue_at, {holder})
        if overdue_at is not None:
            heapq.heappush(self._overdue, (overdue_at, vm))

    def record_unreachable(self, vm: VmId, observer: ProcessId) -> None:
        """Record that another entry process could not reach a suspected target."""
        suspicion = self._suspicions.get(vm)
        if suspicion is not None:
            suspicion.unreached_by.add(observer)
            if len(suspicion.unreached_by) >= 2 and vm not in self._dead:
                self._ripe[vm] = None

    def confirmed(self, vm: VmId) -> None:
        """Record that the holder of a target has found it dead."""
        if vm in self._suspicions:
            self._ripe.pop(vm, None)
            self._silent_twice.pop(vm, None)
            self._dead[vm] = None

    def reached(self, vm: VmId) -> None:
        """Record that a target announced itself or was reached, so that it is not suspected."""
        self._suspicions.pop(vm, None)
        self._ripe.pop(vm, None)
        self._silent_twice.pop(vm, None)
        self._dead.pop(vm, None)

    def is_cut_off(self) -> bool:
        """Return whether every target of the data centre is suspected."""
        count = len(self._targets)
        return count >= FEWEST_FOR_CUT_OFF and len(self._suspicions) == count

    def targets_to_probe(self) -> tuple[VmId, ...]:
        """Return the suspected targets that are not dead, for other processes to try."""
        return tuple(vm for vm in self._suspicions if vm not in self._dead)

    def take_dead(self, now: Instant) -> tuple[VmId, ...]:
        """Return the targets that are confirmed dead now, each once."""
        self._pass_overdue(now)
        if len(self._processes) <= 1:
            self._ripe.update(self._silent_twice)
            self._silent_twice.clear()
        if self.is_cut_off():
            return ()
        dead = tuple(self._ripe)
        self._ripe.clear()
        self._dead.update(dict.fromkeys(dead))
        return dead

    def next_check(self) -> Instant | None:
        """Return when `take_dead` may find something without a new report, or None."""
        return self._overdue[0][0] if self._overdue else None

    def _pass_overdue(self, now: Instant) -> None:
        while self._overdue and self._overdue[0][0] <= now:
            overdue_at, vm = heapq.heappop(self._overdue)
            suspicion = self._suspicions.get(vm)
            is_current = suspicion is not None and suspicion.overdue_at == overdue_at
            if is_current and vm not in self._dead:
                self._silent_twice[vm] = None
