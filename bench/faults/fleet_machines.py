"""The platform that owns the machines, as its protocol describes it."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from marigolddoor_control.fleet.ports import MachineOutcome, NoAnswerError
from marigolddoor_core.dispatch import MachineState, MachineView
from marigolddoor_core.ids import FencingToken, MachineId, ServiceId, WaveId

from bench.faults.consensus_checkers import Violation
from bench.faults.fleet_executors import LATENCY_S, Faults

__all__ = ["VirtualMachine", "VirtualMachines"]

MOVE_S = 1.5
MAINTENANCE_S = 2.0
# Orders of two leaders for one machine must be so far apart.
MACHINE_LEASE_S = 3.0


@dataclass
class VirtualMachine:
    """A machine and the last order for it."""

    name: MachineId
    service: ServiceId
    cpu: int
    state: MachineState = MachineState.UP
    wave: WaveId | None = None
    token: int = 0
    ordered_at: float = -100.0


class VirtualMachines:
    """Implements `MachineCalls`.

    Tokens are not checked by the platform, so two leaders must not take turns at a machine.

    Args:
      rng: decides what goes wrong.
      faults: how often calls go wrong.
      group: runs what was sent even if its sender has ended.
      machines: all machines.
      ended: told of a machine whose executor has to end.
      back: told of a machine that is up in its service again.
    """

    def __init__(
        self,
        rng: random.Random,
        faults: Faults,
        group: TaskGroup,
        machines: dict[MachineId, VirtualMachine],
        ended: Callable[[VirtualMachine], None],
        back: Callable[[VirtualMachine], None],
    ) -> None:
        self.rng = rng
        self.faults = faults
        self.group = group
        self.machines = machines
        self.ended = ended
        self.back = back
        # The most machines of a wave that may be in their upkeep at once.
        self.max_count: dict[WaveId, int] = {}
        self.done: dict[WaveId, set[MachineId]] = {}

    async def move(
        self, machine: MachineId, service: ServiceId, token: FencingToken
    ) -> MachineOutcome:
        """Move a machine to the pool of a service."""

        def carry_out(target: VirtualMachine) -> MachineOutcome:
            if target.state is not MachineState.UP:
                return MachineOutcome.BUSY
            if target.service == service:
                return MachineOutcome.DONE
            self.ended(target)
            target.state, target.service = MachineState.MOVING, service
            self.group.start_soon(self._return, target, MOVE_S)
            return MachineOutcome.DONE

        return await self._call(machine, token, carry_out)

    async def begin_maintenance(
        self, machine: MachineId, wave: WaveId, token: FencingToken
    ) -> MachineOutcome:
        """Hand a machine over for its upkeep."""

        def carry_out(target: VirtualMachine) -> MachineOutcome:
            done = self.done.setdefault(wave, set())
            if machine in done:
                return MachineOutcome.DONE
            if target.state is not MachineState.UP:
                return MachineOutcome.BUSY
            down = sum(1 for other in self.machines.values() if other.wave == wave)
            if down >= self.max_count[wave]:
                raise Violation("limit of a wave", f"{machine} is the {down + 1}th at once")
            done.add(machine)
            self.ended(target)
            target.state, target.wave = MachineState.MAINTENANCE, wave
            self.group.start_soon(self._return, target, MAINTENANCE_S)
            return MachineOutcome.DONE

        return await self._call(machine, token, carry_out)

    async def list_machines(self) -> list[MachineView]:
        """Return all machines."""
        await anyio.sleep(self.rng.uniform(*LATENCY_S))
        if self.rng.random() < self.faults.lost:
            raise NoAnswerError("no list in time")
        return [
            MachineView(machine.name, machine.service, machine.state, machine.cpu)
            for machine in self.machines.values()
        ]

    async def _return(self, machine: VirtualMachine, after_s: float) -> None:
        await anyio.sleep(after_s)
        machine.state, machine.wave = MachineState.UP, None
        self.back(machine)

    def _check_turn(self, machine: VirtualMachine, token: FencingToken) -> None:
        now = anyio.current_time()
        if token != machine.token and now - machine.ordered_at < MACHINE_LEASE_S:
            raise Violation(
                "one leader a machine",
                f"{machine.name}: token {token} {now - machine.ordered_at:.2f} s after "
                f"{machine.token}",
            )
        machine.token, machine.ordered_at = token, now

    async def _call(
        self,
        name: MachineId,
        token: FencingToken,
        carry_out: Callable[[VirtualMachine], MachineOutcome],
    ) -> MachineOutcome:
        machine = self.machines.get(name)
        if machine is None:
            return MachineOutcome.UNKNOWN_MACHINE
        self._check_turn(machine, token)
        await anyio.sleep(self.rng.uniform(*LATENCY_S))
        if self.rng.random() < self.faults.lost:
            raise NoAnswerError("no answer in time")
        outcome = carry_out(machine)
        if self.rng.random() < self.faults.unanswered:
            raise NoAnswerError("the answer was lost")
        return outcome
