"""The results of decisions: commands to propose, orders to workers and calls to the platform."""

from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import Epoch, VmId
from marigolddoor_core.state.commands import Command
from marigolddoor_core.targets import TaskOrder

__all__ = ["Action", "Decision", "OrderTask", "ProposeCommand", "RebootVm"]


@dataclass(frozen=True, slots=True)
class ProposeCommand:
    """Propose a command to the consensus group."""

    command: Command


@dataclass(frozen=True, slots=True)
class OrderTask:
    """Push an order to the worker on `vm`, which executes it only in `epoch`.

    The order is dropped if it is not sent by the consensus time `send_by_s`. The lease of a start
    order begins at its receipt, so an order that a paused process sends late would outlast the
    lease that a new leader assumes.
    """

    vm: VmId
    epoch: Epoch
    order: TaskOrder
    send_by_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Request the reboot of a drained VM from the platform. `request` makes resends idempotent."""

    vm: VmId
    request: str


Action = ProposeCommand | OrderTask | RebootVm


class Decision(Protocol):
    """A part of the leader's control loop, called about once a second and after each report.

    A decision keeps soft state only. It starts empty on a new leader and derives what it needs from
    the fleet.
    """

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the actions for now; an action may be repeated until its effect is visible."""
        ...
