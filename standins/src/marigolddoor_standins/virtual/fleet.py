"""Simulates a fleet in virtual time: workers, reports, the committed state and a leader."""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from marigolddoor_core.actions import Action, Decision, OrderTask, ProposeCommand, RebootVm
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.fleet import Demand, Fleet, ObservedTarget
from marigolddoor_core.ids import DataCentreId, JobId, ServiceId, TaskId, VmId
from marigolddoor_core.placement import Placement
from marigolddoor_core.state.commands import Command, MaintenanceStep, RegisterVm
from marigolddoor_core.targets import Announcement, TargetState

from marigolddoor_standins.virtual.state import VirtualState
from marigolddoor_standins.virtual.workers import JobBehaviour, VirtualWorker

__all__ = ["VirtualFleet"]

SUSPECTED_AFTER_S = 3.0
DEAD_AFTER_S = 6.0
UNRESPONSIVE_DATA_CENTRE_S = 5.0


@dataclass(frozen=True, slots=True)
class _Report:
    deliver_at_s: float
    sent_s: float
    announcement: Announcement
    state: TargetState


class VirtualFleet:
    """Runs decisions against workers in steps of virtual time.

    Faults are attributes: `unreachable_data_centres` send and receive nothing, `report_delay_s`
    delays every report, `is_leaderless` suspends decisions, `lose_proposal` drops proposals and
    `commit_s` delays the others.
    """

    def __init__(
        self,
        state: VirtualState,
        leader: Callable[[], Sequence[Decision]],
        step_s: float = 1.0,
        interval_s: float = 1.0,
        reboot_s: float = 20.0,
    ) -> None:
        self.state = state
        self.leader = leader
        self.decisions: Sequence[Decision] = leader()
        self.step_s = step_s
        self.interval_s = interval_s
        self.reboot_s = reboot_s
        self.now_s = 1_000.0
        self.workers: dict[VmId, VirtualWorker] = {}
        self.behaviours: dict[JobId, JobBehaviour] = {}
        self.demand: dict[ServiceId, Demand] = {}
        self.unreachable_data_centres: set[DataCentreId] = set()
        self.last_contact_s: dict[DataCentreId, float] = {}
        self.report_delay_s = 0.0
        self.is_leaderless = False
        self.lose_proposal: Callable[[Command], bool] = lambda command: False
        self.commit_s = 0.0
        self.pending: list[tuple[float, Command]] = []
        self.on_propose: Callable[[Command, Fleet], None] = lambda command, fleet: None
        self.on_commit: Callable[[Command], None] = lambda command: None
        self.reports: list[_Report] = []
        self.latest_reports: dict[VmId, _Report] = {}
        self.announced_s: dict[VmId, float] = {}
        self.last_announcements: dict[VmId, Announcement] = {}
        self.reboots: set[str] = set()
        self.applied: Counter[type[Command]] = Counter()
        self.completed: set[TaskId] = set()
        self.progress: dict[TaskId, float] = {}
        self.events: list[tuple[float, Callable[[], None]]] = []

    def add(self, command: RegisterVm) -> VirtualWorker:
        """Register a VM and start its worker."""
        if not self.state.apply(command, self.now_s):
            raise InvalidInputError(f"{command.vm} was not registered")
        worker = VirtualWorker(
            command.vm,
            command.data_centre,
            command.rack,
            command.capacity,
            command.slots,
            self.state.vms[command.vm].epoch,
            progress=self.progress,
        )
        self.workers[command.vm] = worker
        self.last_contact_s[command.data_centre] = self.now_s
        return worker

    def change_leader(self) -> None:
        """Replace the leader by one that knows only the committed state."""
        self.decisions = self.leader()
        self.latest_reports.clear()
        self.reports.clear()

    def run(self, duration_s: float, each_step: Callable[[], None] | None = None) -> None:
        """Advance virtual time by `duration_s`."""
        for _ in range(round(duration_s / self.step_s)):
            self.step()
            if each_step is not None:
                each_step()

    def at(self, time_s: float, event: Callable[[], None]) -> None:
        """Call `event` at the first step from `time_s` on."""
        self.events.append((time_s, event))

    def step(self) -> None:
        """Advance workers, deliver reports, run the decisions and execute their actions."""
        self.now_s += self.step_s
        due = [event for time_s, event in self.events if time_s <= self.now_s]
        self.events = [later for later in self.events if later[0] > self.now_s]
        for event in due:
            event()
        self._commit()
        for worker in self.workers.values():
            if worker.is_up(self.now_s):
                self.completed.update(worker.advance(self.now_s, self.step_s))
        for data_centre in self.last_contact_s:
            if data_centre not in self.unreachable_data_centres:
                self.last_contact_s[data_centre] = self.now_s
        self._announce()
        self._deliver()
        if self.is_leaderless:
            return
        fleet = self.current_fleet()
        for decision in self.decisions:
            for action in decision.decide(fleet):
                self._execute(action, fleet)

    def _commit(self) -> None:
        """Apply the proposals that are due, in order of proposal."""
        while self.pending and self.pending[0][0] <= self.now_s:
            _, command = self.pending.pop(0)
            self.on_commit(command)
            if self.state.apply(command, self.now_s):
                self.applied[type(command)] += 1

    def current_fleet(self) -> Fleet:
        """Return the fleet as the leader observes it."""
        return Fleet(
            self.now_s,
            self.state.revision,
            self.state.declaration,
            dict(self.state.vms),
            dict(self.state.tasks),
            dict(self.state.questions),
            {
                vm: ObservedTarget(report.announcement, report.state, self.now_s - report.sent_s)
                for vm, report in self.latest_reports.items()
            },
            dict(self.demand),
            frozenset(
                data_centre
                for data_centre, last_contact_s in self.last_contact_s.items()
                if self.now_s - last_contact_s > UNRESPONSIVE_DATA_CENTRE_S
            ),
        )

    def _announce(self) -> None:
        for vm, worker in self.workers.items():
            last_s = self.announced_s.get(vm, -self.interval_s)
            is_announcing = worker.is_up(self.now_s) and not worker.unresponsive
            if is_announcing and self._is_due(worker, last_s):
                self._apply_assignment(worker)
                self.announced_s[vm] = self.now_s
                self.last_announcements[vm] = worker.announcement(self.now_s)
                self._report(worker, self.last_announcements[vm], TargetState.READY)
            elif not is_announcing and vm in self.last_announcements:
                since_contact_s = self.now_s - last_s
                if since_contact_s >= DEAD_AFTER_S:
                    self._report(worker, self.last_announcements[vm], TargetState.DEAD)
                elif since_contact_s >= SUSPECTED_AFTER_S:
                    self._report(worker, self.last_announcements[vm], TargetState.SUSPECTED)

    def _is_due(self, worker: VirtualWorker, last_s: float) -> bool:
        has_updates = any(run.ended_s > last_s for run in worker.runs.values())
        return has_updates or self.now_s - last_s >= self.interval_s

    def _apply_assignment(self, worker: VirtualWorker) -> None:
        record = self.state.vms.get(worker.vm)
        if record is None or worker.data_centre in self.unreachable_data_centres:
            return
        worker.epoch = record.epoch
        worker.drain = record.next_pool is not None or record.maintenance in (
            MaintenanceStep.DRAINING,
            MaintenanceStep.REBOOTING,
        )

    def _report(
        self, worker: VirtualWorker, announcement: Announcement, state: TargetState
    ) -> None:
        if worker.data_centre in self.unreachable_data_centres:
            return
        due_s = self.now_s + self.report_delay_s
        previous = self.latest_reports.get(worker.vm)
        if (
            previous is not None
            and previous.announcement is announcement
            and previous.state is state
        ):
            return
        self.reports.append(_Report(due_s, self.now_s, announcement, state))

    def _deliver(self) -> None:
        due = [report for report in self.reports if report.deliver_at_s <= self.now_s]
        self.reports = [report for report in self.reports if report.deliver_at_s > self.now_s]
        for report in due:
            vm = report.announcement.vm
            worker = self.workers.get(vm)
            if worker is None or worker.data_centre in self.unreachable_data_centres:
                continue
            self.latest_reports[vm] = report
            if report.state is not TargetState.READY or self.is_leaderless:
                continue
            for decision in self.decisions:
                if isinstance(decision, Placement):
                    for lease in decision.renewals([report.announcement], self.now_s):
                        worker.renew(lease.task, lease.token, report.sent_s + lease.lease_s)

    def _execute(self, action: Action, fleet: Fleet) -> None:
        if isinstance(action, ProposeCommand):
            self.on_propose(action.command, fleet)
            if self.lose_proposal(action.command):
                return
            self.pending.append((self.now_s + self.commit_s, action.command))
            if self.commit_s <= 0.0:
                self._commit()
        elif isinstance(action, OrderTask):
            worker = self.workers.get(action.vm)
            if worker is not None and self._is_reachable(worker) and worker.epoch == action.epoch:
                worker.order(action.order, self.behaviours.get(action.order.job), self.now_s)
        elif isinstance(action, RebootVm) and action.request not in self.reboots:
            self.reboots.add(action.request)
            self.workers[action.vm].go_down(self.now_s, self.reboot_s)

    def _is_reachable(self, worker: VirtualWorker) -> bool:
        is_announcing = worker.is_up(self.now_s) and not worker.unresponsive
        return is_announcing and worker.data_centre not in self.unreachable_data_centres
