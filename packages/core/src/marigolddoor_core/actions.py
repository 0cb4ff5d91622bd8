"""What a decision asks for: commands to propose, orders to workers, calls to the platform."""

from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import Epoch, VmId
from marigolddoor_core.state.commands import Command
from marigolddoor_core.targets import TaskOrder

__all__ = ["Action", "Decision", "OrderTask", "ProposeCommand", "RebootVm"]


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Propose a command to the agreement group."""

    command: Command


@dataclass(frozen=True, slots=True)
class OrderTask:
    """Push an order to the worker on `vm`, which follows it only in `epoch`.

    The order is dropped if it is not on its way by the agreed time `send_by_s`. The lease of a
    start order counts from its receipt, so one that a paused process sends late would outlast the
    lease that a new leader knows of.
    """

    vm: VmId
    epoch: Epoch
    order: TaskOrder
    send_by_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Ask the platform to reboot a drained VM. `request` makes a resend idempotent."""

    vm: VmId
    request: str


Action = ProposeCommand | OrderTask | RebootVm


class Decision(Protocol):
    """A part of the leader's work, called about once a second and after each report.

    A decision keeps soft state only: after a change of the leader it starts empty, and what it
    needs to know comes from the fleet.
    """

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return what to do now; the same action may be returned until its effect shows."""
        ...
