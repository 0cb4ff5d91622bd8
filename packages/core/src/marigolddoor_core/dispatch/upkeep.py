"""Waves of upkeep: which machine is emptied and handed to the platform next.

A machine passes through the steps in order. It gets no new task while it is emptied. Its batch
tasks end by themselves; a long-running task is moved while the others of its step are at work.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import Enum

from marigolddoor_core.dispatch.executors import Executor, ExecutorState
from marigolddoor_core.dispatch.orders import UpkeepOrder
from marigolddoor_core.dispatch.room import MachineState
from marigolddoor_core.ids import MachineId, ServiceId, WaveId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import BeginUpkeep, FinishWave, JobChange, WaveRecord

__all__ = ["SURELY_BACK_S", "Upkeep", "UpkeepStep"]

# A machine counts as back if its executor answered a call this long after the platform's yes. The
# platform ends what runs on the machine with its yes, so an answer that was on its way is older.
BACK_AFTER_S = 0.3
# Upkeep takes 2 s. A machine that shows no executor after this long is off or has failed.
SURELY_BACK_S = 6.0
# A machine that the platform called busy is offered again after this long.
BUSY_PAUSE_S = 0.5
# A machine without an executor is offered to the platform as it is after this long.
MISSING_S = 4.0
# At most this share of a service's executors is emptied or in upkeep at a time.
SERVICE_SHARE = 0.34
# A machine that so many lists in a row do not name has left for good. A list is read in pages, so
# one alone may miss a machine.
LISTS_UNTIL_GONE = 2


class UpkeepStep(Enum):
    """How far a machine's upkeep got. `BEGUN` is recorded, `HANDED_OVER` confirmed.

    `INHERITED` was recorded by an earlier leader, and the platform may have had the machine.
    """

    DUE = "due"
    INHERITED = "inherited"
    EMPTYING = "emptying"
    BEGUN = "begun"
    HANDED_OVER = "handed over"
    BACK = "back"


class _Machine:
    def __init__(self, machine: MachineId, step: UpkeepStep, now: Instant) -> None:
        self.machine = machine
        self.step = step
        self.since = now
        # When the platform last said that it can't take the machine now.
        self.busy_at: Instant | None = None
        self.lists_without = 0


class Upkeep:
    """The upkeep of one wave during one leadership."""

    def __init__(self, wave: WaveRecord, now: Instant) -> None:
        self.wave = wave
        self.machines = {
            machine: _Machine(
                machine, UpkeepStep.INHERITED if machine in wave.begun else UpkeepStep.DUE, now
            )
            for machine in wave.machines
        }

    @property
    def id(self) -> WaveId:
        """Return the id of the wave."""
        return self.wave.wave

    def is_emptying(self, machine: MachineId) -> bool:
        """Return whether a machine gets no new task because of this wave."""
        state = self.machines.get(machine)
        return state is not None and state.step in (
            UpkeepStep.INHERITED,
            UpkeepStep.EMPTYING,
            UpkeepStep.BEGUN,
        )

    def is_in_upkeep(self, machine: MachineId) -> bool:
        """Return whether a machine must not be moved because of this wave."""
        state = self.machines.get(machine)
        return state is not None and state.step not in (UpkeepStep.DUE, UpkeepStep.BACK)

    def begun(self, machine: MachineId, now: Instant) -> UpkeepOrder:
        """Return the order for a machine whose upkeep was recorded, maybe by an earlier leader."""
        state = self.machines[machine]
        is_repeated = state.step is UpkeepStep.INHERITED
        state.step, state.since = UpkeepStep.BEGUN, now
        return UpkeepOrder(self.id, machine, is_repeated)

    def handed_over(self, machine: MachineId, now: Instant) -> None:
        """Take the platform's word that it has the machine, or had it before."""
        state = self.machines[machine]
        state.step, state.since, state.busy_at = UpkeepStep.HANDED_OVER, now, None

    def busy(self, machine: MachineId, now: Instant) -> None:
        """Take the platform's word that it can't take the machine now.

        The others of the wave go on meanwhile, so the machine is offered again when its turn comes:
        a repeated call could take it while enough others are down.
        """
        state = self.machines[machine]
        if state.step is UpkeepStep.BEGUN:
            state.step, state.busy_at = UpkeepStep.EMPTYING, now

    def gone(self, machine: MachineId) -> None:
        """Take the platform's word that there is no such machine."""
        self.machines[machine].step = UpkeepStep.BACK

    def listed(
        self,
        machines: Mapping[MachineId, MachineState],
        reporting: Collection[MachineId],
        asked_at: Instant,
    ) -> None:
        """Take the platform's list of machines.

        One that is up again is back, also if its service is off and it shows no executor. One that
        left for good ends its part of the wave; the platform calls it busy for ever.

        Args:
          machines: the states that the platform lists.
          reporting: machines whose executors report, so that they are there whatever the list says.
          asked_at: when the list was asked for.
        """
        for state in self.machines.values():
            if state.step is UpkeepStep.HANDED_OVER:
                is_up = machines.get(state.machine) is MachineState.UP
                if is_up and asked_at >= state.since:
                    state.step = UpkeepStep.BACK
            if state.step in (UpkeepStep.HANDED_OVER, UpkeepStep.BACK):
                continue
            is_there = state.machine in machines or state.machine in reporting
            state.lists_without = 0 if is_there else state.lists_without + 1
            if state.lists_without >= LISTS_UNTIL_GONE:
                self.gone(state.machine)

    def is_back(self, machine: MachineId) -> bool:
        """Return whether nothing is left to do for a machine."""
        return self.machines[machine].step is UpkeepStep.BACK

    def plan(
        self,
        by_machine: dict[MachineId, Executor],
        executors: Iterable[Executor],
        off: Collection[MachineId],
        now: Instant,
    ) -> tuple[list[JobChange], list[Executor]]:
        """Return the changes to record, and the executors whose tasks should leave.

        Args:
          by_machine: the executor of each machine that has one.
          executors: all executors.
          off: machines that are known to be free because their service is off.
          now: the time.
        """
        self._track_returns(by_machine, now)
        states = list(self.machines.values())
        if all(state.step is UpkeepStep.BACK for state in states):
            return ([] if self.wave.is_finished else [FinishWave(self.id)]), []
        self._choose(by_machine, list(executors), off, now)
        changes: list[JobChange] = []
        leaving = []
        down = sum(
            1 for state in states if state.step in (UpkeepStep.BEGUN, UpkeepStep.HANDED_OVER)
        )
        for state in states:
            # More may be recorded than the wave allows at once, since the platform refused some.
            if state.step is UpkeepStep.INHERITED and down < self.wave.max_count:
                down += 1
                changes.append(BeginUpkeep(self.id, state.machine))
            if state.step is not UpkeepStep.EMPTYING:
                continue
            if state.busy_at is not None and now - state.busy_at < BUSY_PAUSE_S:
                continue
            executor = by_machine.get(state.machine)
            if executor is not None and executor.runs:
                leaving.append(executor)
            elif down < self.wave.max_count and (
                executor is not None or state.machine in off or now - state.since >= MISSING_S
            ):
                down += 1
                changes.append(BeginUpkeep(self.id, state.machine))
        return changes, leaving

    def _track_returns(self, by_machine: dict[MachineId, Executor], now: Instant) -> None:
        for state in self.machines.values():
            if state.step is not UpkeepStep.HANDED_OVER:
                continue
            executor = by_machine.get(state.machine)
            contact_at = None if executor is None else executor.contact_at
            has_answered = contact_at is not None and contact_at >= state.since + BACK_AFTER_S
            if has_answered or now - state.since >= SURELY_BACK_S:
                state.step = UpkeepStep.BACK

    def _choose(
        self,
        by_machine: dict[MachineId, Executor],
        executors: list[Executor],
        off: Collection[MachineId],
        now: Instant,
    ) -> None:
        """Begin to empty machines, the idlest of the idlest services first."""
        total: dict[ServiceId, int] = {}
        used: dict[ServiceId, float] = {}
        for executor in executors:
            service = executor.heartbeat.service
            total[service] = total.get(service, 0) + 1
            used[service] = used.get(service, 0.0) + executor.load
        away: dict[ServiceId, int] = {}
        open_places = self.wave.max_count
        for state in self.machines.values():
            if state.step in (UpkeepStep.DUE, UpkeepStep.BACK):
                continue
            open_places -= 0 if state.busy_at is not None else 1
            known = by_machine.get(state.machine)
            if known is not None:
                service = known.heartbeat.service
                away[service] = away.get(service, 0) + 1

        def key(state: _Machine) -> tuple[float, int]:
            executor = by_machine.get(state.machine)
            if executor is None:
                return (-1.0, 0)
            service = executor.heartbeat.service
            return (used[service] / total[service], len(executor.runs))

        due = [state for state in self.machines.values() if state.step is UpkeepStep.DUE]
        for state in sorted(due, key=key):
            if open_places <= 0:
                return
            candidate = by_machine.get(state.machine)
            if candidate is None:
                if state.machine not in off and now - state.since < MISSING_S:
                    continue
            else:
                if candidate.heartbeat.state is ExecutorState.DRAINING:
                    continue
                service = candidate.heartbeat.service
                if away.get(service, 0) >= max(1, int(SERVICE_SHARE * total[service])):
                    continue
                away[service] = away.get(service, 0) + 1
            state.step, state.since = UpkeepStep.EMPTYING, now
            open_places -= 1
