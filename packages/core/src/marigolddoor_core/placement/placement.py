"""Places waiting tasks on workers, renews their leases and preempts for urgent tasks."""

from collections.abc import Iterable

from marigolddoor_core.actions import Action
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.placement.faults import Faults
from marigolddoor_core.placement.index import PlacementIndex
from marigolddoor_core.placement.leases import LEASE_S, LeaseRenewal
from marigolddoor_core.placement.placer import Placer
from marigolddoor_core.placement.preemption import CheckpointPreemption, Preemption
from marigolddoor_core.placement.runs import Runs
from marigolddoor_core.targets import Announcement

__all__ = ["Placement"]


class Placement:
    """The placement decision with preemption, estimated sizes, quotas and leases.

    The cost of a round grows with the changes since the last round and with the waiting jobs.
    """

    def __init__(self, preemption: Preemption | None = None, lease_s: float = LEASE_S) -> None:
        self.index = PlacementIndex()
        self.runs = Runs(self.index, lease_s)
        self.placer = Placer(self.index, self.runs, preemption or CheckpointPreemption())
        self.faults = Faults(self.index, self.runs)

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the grants, orders, ends of runs and questions that are due now."""
        now_s = fleet.now_s
        tasks, targets = self.index.update(fleet)
        self.faults.read(fleet)
        for task_change in tasks:
            self.runs.apply(task_change, now_s)
            self.placer.apply(task_change)
            self.faults.apply(task_change)
        self.runs.is_initialised = True
        actions: list[Action] = []
        for target_change in targets:
            if target_change.new is not None:
                actions += self.runs.read_reports(target_change.new, now_s)
                actions += self.runs.relieve(target_change.key, now_s)
        actions += self.runs.expire(now_s)
        actions += self.faults.set_tasks_aside(now_s)
        actions += self.runs.stop_cancelled(now_s)
        self.runs.checkpoint_leaving(now_s)
        actions += self.placer.place(now_s, self.faults.at_fault)
        actions += self.runs.start(now_s)
        actions += self.runs.orders.due_terminations(now_s)
        actions += self.faults.ask(now_s)
        return tuple(actions)

    def renewals(self, reports: Iterable[Announcement], now_s: float) -> tuple[LeaseRenewal, ...]:
        """Renew the leases of the tasks that run on the workers of a holder's report.

        Call it when the report arrives: the leader counts the new lease from `now_s`, and its
        holder from the earlier moment at which it sent the report.
        """
        return self.runs.renewals(reports, now_s)
