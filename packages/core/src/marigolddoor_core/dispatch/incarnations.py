"""The incarnations of executors that are in use, and which of them a heartbeat displaces."""

from collections.abc import Callable

from marigolddoor_core.dispatch.executors import Executor, Heartbeat
from marigolddoor_core.ids import ExecutorId, ExecutorIncarnation, MachineId, ServiceId

__all__ = ["Incarnations"]


class Incarnations:
    """The executors in use during one leadership, by incarnation, id, address and machine.

    Args:
      is_configured: returns whether a service is in the configuration in force.
    """

    def __init__(self, is_configured: Callable[[ServiceId], bool]) -> None:
        self.is_configured = is_configured
        self.executors: dict[ExecutorIncarnation, Executor] = {}
        self.current: dict[ExecutorId, Executor] = {}
        self.by_address: dict[str, Executor] = {}
        self.by_machine: dict[MachineId, Executor] = {}
        self.newest_incarnation: dict[ExecutorId, int] = {}
        # How many incarnations of each executor were in use.
        self.counts: dict[ExecutorId, int] = {}
        # The last heartbeat's number of each executor that was given up because of its silence.
        self.silent_after: dict[ExecutorId, int] = {}

    def add(self, executor: Executor) -> None:
        """Use an incarnation, after those that it displaces were removed."""
        heartbeat = executor.heartbeat
        executor.predecessors = self.counts.get(heartbeat.executor, 0)
        self.counts[heartbeat.executor] = executor.predecessors + 1
        self.newest_incarnation[heartbeat.executor] = heartbeat.born_ms
        self.silent_after.pop(heartbeat.executor, None)
        self.executors[heartbeat.incarnation] = executor
        self.current[heartbeat.executor] = executor
        self.by_address[heartbeat.address] = executor
        if heartbeat.machine:
            self.by_machine[heartbeat.machine] = executor

    def remove(self, executor: Executor) -> None:
        """Remove an incarnation that has ended."""
        heartbeat = executor.heartbeat
        del self.executors[executor.incarnation]
        if self.current.get(heartbeat.executor) is executor:
            del self.current[heartbeat.executor]
        if self.by_address.get(heartbeat.address) is executor:
            del self.by_address[heartbeat.address]
        if self.by_machine.get(heartbeat.machine) is executor:
            del self.by_machine[heartbeat.machine]

    def given_up(self, executor: Executor) -> None:
        """Record that an incarnation is given up because of its silence."""
        self.silent_after[executor.heartbeat.executor] = executor.heartbeat.sequence

    def displaced_by(self, heartbeat: Heartbeat) -> list[Executor] | None:
        """Return the executors that another incarnation displaces; None if it is not accepted."""
        newest = self.newest_incarnation.get(heartbeat.executor, 0)
        if heartbeat.born_ms < newest or (
            heartbeat.born_ms == newest and not self._has_returned(heartbeat)
        ):
            # A late heartbeat of an ended incarnation.
            return None
        at_address = self.by_address.get(heartbeat.address)
        on_machine = self.by_machine.get(heartbeat.machine) if heartbeat.machine else None
        if any(
            other is not None and other.heartbeat.born_ms > heartbeat.born_ms
            for other in (at_address, on_machine)
        ):
            # A late heartbeat of an executor that was replaced at its address or on its machine.
            return None
        displaced = [
            previous
            for previous in (self.current.get(heartbeat.executor), at_address, on_machine)
            if previous is not None
        ]
        return None if displaced and not self.is_configured(heartbeat.service) else displaced

    def _has_returned(self, heartbeat: Heartbeat) -> bool:
        """Return whether an executor that was given up because of its silence reports again.

        It may only have been cut off. It was given up after its lease had certainly expired, so
        none of its runs continues.
        """
        last = self.silent_after.get(heartbeat.executor)
        return last is not None and heartbeat.sequence > last
