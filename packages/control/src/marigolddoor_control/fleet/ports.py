"""Interfaces between the leader of the fleet and the external systems that it calls."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from marigolddoor_core.dispatch import Advice, AdviceRequest, Executor, HoldReport, MachineView
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.ids import (
    FencingToken,
    MachineId,
    RunNumber,
    ServiceId,
    TaskName,
    WaveId,
)

__all__ = [
    "Adviser",
    "CallOutcome",
    "DisconnectedError",
    "ExecutorCalls",
    "FleetPorts",
    "HoldRequest",
    "MachineCalls",
    "MachineOutcome",
    "NoAnswerError",
    "StartOutcome",
    "StartRequest",
    "WrongIncarnationError",
]


class NoAnswerError(MarigolddoorError):
    """No usable answer came; the call may have been carried out, or may still be."""


class DisconnectedError(NoAnswerError):
    """The executor closed its connection in an orderly way and accepts no other one.

    It no longer serves calls, or was cut off right after it closed the connection. A reset or a
    refusal alone does not count: a partition causes both while the executor goes on.
    """


class WrongIncarnationError(MarigolddoorError):
    """Another incarnation of the executor answered, so the addressed one has ended."""


class StartOutcome(Enum):
    """An executor's answer to a start. `FENCED`: it knows a later leader's fencing token."""

    STARTED = "started"
    REJECTED = "rejected"
    FENCED = "fenced"


class CallOutcome(Enum):
    """An executor's answer to any other order."""

    DONE = "done"
    REFUSED = "refused"


class MachineOutcome(Enum):
    """The platform's answer to an order for a machine."""

    DONE = "done"
    BUSY = "busy"
    FENCED = "fenced"
    UNKNOWN_MACHINE = "unknown machine"
    THROTTLED = "throttled"


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Start a run under a lease until `deadline_ms` of the executor's clock."""

    task: TaskName
    run: RunNumber
    payload: str
    checkpoint: str
    deadline_ms: int
    token: FencingToken
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class HoldRequest:
    """Extend the lease until `deadline_ms`, discard finished runs up to `seen`, and list runs.

    The executor answers after `wait_s`, or as soon as a run ends. A deadline of 0 extends nothing.
    """

    deadline_ms: int
    seen: int
    wait_s: float
    token: FencingToken


class Adviser(Protocol):
    """Knows which executors the policy of a queue allows."""

    async def advise(self, request: AdviceRequest) -> Advice:
        """Return the approved executors of a request.

        Raises:
          NoAnswerError: the adviser gave no usable answer.
        """
        ...


class ExecutorCalls(Protocol):
    """Calls to executors.

    Each raises `NoAnswerError` if no usable answer came, and `WrongIncarnationError` if another
    incarnation of the executor answered. `hold` raises `DisconnectedError` where it can tell.
    """

    async def start(self, executor: Executor, request: StartRequest) -> StartOutcome:
        """Start a run; idempotent for the same run number."""
        ...

    async def stop(
        self, executor: Executor, task: TaskName, run: RunNumber, token: FencingToken
    ) -> CallOutcome:
        """Stop a run. If its start arrives later, it is rejected."""
        ...

    async def hold(self, executor: Executor, request: HoldRequest) -> HoldReport:
        """Extend the lease of all runs on the executor and list them."""
        ...

    async def pace(
        self,
        executor: Executor,
        task: TaskName,
        run: RunNumber,
        percent: int,
        token: FencingToken,
    ) -> CallOutcome:
        """Throttle a run to a percentage of its full speed."""
        ...

    async def forget(self, executor: Executor) -> None:
        """Release the resources kept for an executor incarnation that ended."""
        ...


class MachineCalls(Protocol):
    """Calls to the platform that owns the machines.

    Each raises `NoAnswerError` if no usable answer came.
    """

    async def begin_maintenance(
        self, machine: MachineId, wave: WaveId, token: FencingToken
    ) -> MachineOutcome:
        """Hand a machine over for maintenance; everything on it ends at once."""
        ...

    async def move(
        self, machine: MachineId, service: ServiceId, token: FencingToken
    ) -> MachineOutcome:
        """Move a machine to the pool of a service; everything on it ends at once."""
        ...

    async def list_machines(self) -> list[MachineView]:
        """Return all machines."""
        ...


@dataclass(frozen=True, slots=True)
class FleetPorts:
    """The external systems that a leader calls."""

    executors: ExecutorCalls
    machines: MachineCalls
    adviser: Adviser
