"""Maintenance waves: which machine is drained and handed to the platform next.

A machine passes through the steps in order. While it is drained it gets no new tasks. Its batch
tasks run to their end; a long-running task is moved while the other tasks of its step are working.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.machine_needs import MachineNeeds, NoNeeds
from marigolddoor_core.dispatch.machines import MachineState
from marigolddoor_core.dispatch.orders import MaintenanceOrder
from marigolddoor_core.dispatch.requirements import MachineShape
from marigolddoor_core.ids import MachineId, ServiceId, WaveId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import BeginUpkeep, FinishWave, JobChange, WaveRecord

__all__ = ["RETURN_TIMEOUT_S", "MachineMaintenanceStep", "MaintenanceWave"]

# A machine counts as back if its executor answered a call at least this long after the platform
# confirmed the handover. The platform ends what runs on the machine when it confirms, so an answer
# that was still in flight is older than that.
BACK_AFTER_S = 0.3
# Maintenance takes 2 s. A machine without an executor after this long is off or has failed.
RETURN_TIMEOUT_S = 6.0
# A machine that the platform reported as busy is offered again after this long.
BUSY_RETRY_S = 0.5
# A machine that has had no executor for this long is offered to the platform as it is.
MISSING_TIMEOUT_S = 4.0
# At most this share of a service's executors is drained or in maintenance at a time.
MAX_SERVICE_SHARE = 0.34
# A machine that is missing from this number of consecutive lists has left for good. A list is read
# in pages, so a single one may miss a machine.
LISTS_UNTIL_GONE = 2


class MachineMaintenanceStep(Enum):
    """The progress of a machine's maintenance. `BEGUN` is committed, `HANDED_OVER` confirmed.

    `INHERITED` was committed by an earlier leader, and the platform may already have had the
    machine.
    """

    DUE = "due"
    INHERITED = "inherited"
    DRAINING = "emptying"
    BEGUN = "begun"
    HANDED_OVER = "handed over"
    BACK = "back"


class _Machine:
    def __init__(self, machine: MachineId, step: MachineMaintenanceStep, now: Instant) -> None:
        self.machine = machine
        self.step = step
        self.since = now
        # When the platform last reported that it can't take the machine now.
        self.busy_at: Instant | None = None
        self.missed_lists = 0


class MaintenanceWave:
    """The progress of one maintenance wave during one leadership.

    Args:
      wave: the wave.
      now: the current time.
      needs: the machines that services need for other reasons than cores; by default none.
    """

    def __init__(self, wave: WaveRecord, now: Instant, needs: MachineNeeds | None = None) -> None:
        self.wave = wave
        self.needs: MachineNeeds = needs or NoNeeds()
        self.machines = {
            machine: _Machine(
                machine,
                (
                    MachineMaintenanceStep.INHERITED
                    if machine in wave.begun
                    else MachineMaintenanceStep.DUE
                ),
                now,
            )
            for machine in wave.machines
        }

    @property
    def id(self) -> WaveId:
        """Return the id of the wave."""
        return self.wave.wave

    def is_cordoning(self, machine: MachineId) -> bool:
        """Return whether a machine gets no new tasks because of this wave."""
        state = self.machines.get(machine)
        return state is not None and state.step in (
            MachineMaintenanceStep.INHERITED,
            MachineMaintenanceStep.DRAINING,
            MachineMaintenanceStep.BEGUN,
        )

    def is_ordered(self, machine: MachineId) -> bool:
        """Return whether the platform may take a machine at any moment."""
        state = self.machines.get(machine)
        return state is not None and state.step in (
            MachineMaintenanceStep.INHERITED,
            MachineMaintenanceStep.BEGUN,
            MachineMaintenanceStep.HANDED_OVER,
        )

    def is_in_maintenance(self, machine: MachineId) -> bool:
        """Return whether a machine must not be moved because of this wave."""
        state = self.machines.get(machine)
        return state is not None and state.step not in (
            MachineMaintenanceStep.DUE,
            MachineMaintenanceStep.BACK,
        )

    def create_order(self, machine: MachineId, now: Instant) -> MaintenanceOrder:
        """Return the order for a machine whose maintenance this or an earlier leader committed."""
        state = self.machines[machine]
        is_repeated = state.step is MachineMaintenanceStep.INHERITED
        state.step, state.since = MachineMaintenanceStep.BEGUN, now
        return MaintenanceOrder(self.id, machine, is_repeated)

    def handed_over(self, machine: MachineId, now: Instant) -> None:
        """Record that the platform has taken the machine, now or earlier."""
        state = self.machines[machine]
        state.step, state.since, state.busy_at = MachineMaintenanceStep.HANDED_OVER, now, None

    def mark_busy(self, machine: MachineId, now: Instant) -> None:
        """Record that the platform can't take the machine now.

        The other machines of the wave continue meanwhile, so this one is planned again later. A
        repeated call could succeed while as many machines as the wave allows are down.
        """
        state = self.machines[machine]
        if state.step is MachineMaintenanceStep.BEGUN:
            state.step, state.busy_at = MachineMaintenanceStep.DRAINING, now

    def mark_gone(self, machine: MachineId) -> None:
        """Record that the machine no longer exists."""
        self.machines[machine].step = MachineMaintenanceStep.BACK

    def apply_machine_list(
        self,
        machines: Mapping[MachineId, MachineState],
        reporting: Collection[MachineId],
        asked_at: Instant,
    ) -> None:
        """Apply the platform's list of machines.

        A machine that is up again is back, even if its service is off and it has no executor. A
        machine that left for good counts as back, because the platform would report it as busy
        forever.

        Args:
          machines: the states that the platform lists.
          reporting: machines whose executors report, so that they exist even if not listed.
          asked_at: when the list was requested.
        """
        for state in self.machines.values():
            if state.step is MachineMaintenanceStep.HANDED_OVER:
                is_up = machines.get(state.machine) is MachineState.UP
                if is_up and asked_at >= state.since:
                    state.step = MachineMaintenanceStep.BACK
            if state.step in (MachineMaintenanceStep.HANDED_OVER, MachineMaintenanceStep.BACK):
                continue
            exists = state.machine in machines or state.machine in reporting
            state.missed_lists = 0 if exists else state.missed_lists + 1
            if state.missed_lists >= LISTS_UNTIL_GONE:
                self.mark_gone(state.machine)

    def is_back(self, machine: MachineId) -> bool:
        """Return whether the maintenance of a machine is finished."""
        return self.machines[machine].step is MachineMaintenanceStep.BACK

    def plan(
        self,
        by_machine: dict[MachineId, Executor],
        executors: Iterable[Executor],
        off: Collection[MachineId],
        now: Instant,
    ) -> tuple[list[JobChange], list[Executor]]:
        """Return the changes to propose, and the executors whose tasks should move elsewhere.

        Args:
          by_machine: the executor of each machine that has one.
          executors: all executors.
          off: machines that are known to be idle because their service is off.
          now: the current time.
        """
        self._detect_returns(by_machine, now)
        states = list(self.machines.values())
        if all(state.step is MachineMaintenanceStep.BACK for state in states):
            return ([] if self.wave.is_finished else [FinishWave(self.id)]), []
        self._begin_draining(by_machine, list(executors), off, now)
        changes: list[JobChange] = []
        leaving = []
        down = sum(
            1
            for state in states
            if state.step in (MachineMaintenanceStep.BEGUN, MachineMaintenanceStep.HANDED_OVER)
        )
        for state in states:
            # More may be committed than the wave allows at once, since the platform refused some.
            if state.step is MachineMaintenanceStep.INHERITED and down < self.wave.max_count:
                down += 1
                changes.append(BeginUpkeep(self.id, state.machine))
            if state.step is not MachineMaintenanceStep.DRAINING:
                continue
            if state.busy_at is not None and now - state.busy_at < BUSY_RETRY_S:
                continue
            executor = by_machine.get(state.machine)
            if executor is not None and executor.runs:
                leaving.append(executor)
            elif down < self.wave.max_count and (
                executor is not None
                or state.machine in off
                or now - state.since >= MISSING_TIMEOUT_S
            ):
                down += 1
                changes.append(BeginUpkeep(self.id, state.machine))
        return changes, leaving

    def _detect_returns(self, by_machine: dict[MachineId, Executor], now: Instant) -> None:
        for state in self.machines.values():
            if state.step is not MachineMaintenanceStep.HANDED_OVER:
                continue
            executor = by_machine.get(state.machine)
            contact_at = None if executor is None else executor.contact_at
            has_answered = contact_at is not None and contact_at >= state.since + BACK_AFTER_S
            if has_answered or now - state.since >= RETURN_TIMEOUT_S:
                state.step = MachineMaintenanceStep.BACK

    def _begin_draining(
        self,
        by_machine: dict[MachineId, Executor],
        executors: list[Executor],
        off: Collection[MachineId],
        now: Instant,
    ) -> None:
        """Begin to drain machines: lowest load of the service first, then fewest runs."""
        total: dict[ServiceId, int] = {}
        used: dict[ServiceId, float] = {}
        for executor in executors:
            service = executor.heartbeat.service
            total[service] = total.get(service, 0) + 1
            used[service] = used.get(service, 0.0) + executor.load
        unavailable: dict[ServiceId, int] = {}
        free_places = self.wave.max_count
        for state in self.machines.values():
            if state.step in (MachineMaintenanceStep.DUE, MachineMaintenanceStep.BACK):
                continue
            free_places -= 0 if state.busy_at is not None else 1
            known = by_machine.get(state.machine)
            if known is not None:
                service = known.heartbeat.service
                unavailable[service] = unavailable.get(service, 0) + 1

        def key(state: _Machine) -> tuple[float, int]:
            executor = by_machine.get(state.machine)
            if executor is None:
                return (-1.0, 0)
            service = executor.heartbeat.service
            return (used[service] / total[service], len(executor.runs))

        due = [
            state for state in self.machines.values() if state.step is MachineMaintenanceStep.DUE
        ]
        for state in sorted(due, key=key):
            if free_places <= 0:
                return
            candidate = by_machine.get(state.machine)
            if candidate is None:
                if state.machine not in off and now - state.since < MISSING_TIMEOUT_S:
                    continue
            else:
                if candidate.heartbeat.state is ExecutorState.DRAINING:
                    continue
                service = candidate.heartbeat.service
                if unavailable.get(service, 0) >= max(1, int(MAX_SERVICE_SHARE * total[service])):
                    continue
                if unavailable.get(service, 0) and self._is_needed(candidate, executors):
                    # Tasks that only a few machines can run wait for one of these at a time.
                    continue
                unavailable[service] = unavailable.get(service, 0) + 1
            state.step, state.since = MachineMaintenanceStep.DRAINING, now
            free_places -= 1

    def _is_needed(self, candidate: Executor, executors: Iterable[Executor]) -> bool:
        """Return whether open jobs require a machine besides those that the wave leaves running."""
        service = candidate.heartbeat.service
        staying = [
            MachineShape.of_executor(executor)
            for executor in executors
            if executor is not candidate
            and executor.heartbeat.service == service
            and not self.is_in_maintenance(executor.heartbeat.machine)
        ]
        shape = MachineShape.of_executor(candidate)
        return any(need.places(shape) for need in self.needs.unmet(service, staying))
