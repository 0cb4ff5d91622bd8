"""Drains VMs, reboots them and returns them to service, within the budgets of the pools."""

from dataclasses import dataclass

from marigolddoor_core.actions import Action, OrderTask, ProposeCommand, RebootVm
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import PoolId, VmId
from marigolddoor_core.maintenance import maintenance_questions
from marigolddoor_core.maintenance.budget import (
    BudgetLedger,
    PoolLoss,
    is_unplanned_loss,
)
from marigolddoor_core.maintenance.calendar import due_since_s
from marigolddoor_core.maintenance.waves import BudgetWave, Candidate, WavePolicy
from marigolddoor_core.placement.placement_questions import workers_with_answer
from marigolddoor_core.questions.question_tracker import (
    PROPOSAL_RETRY_S,
    QuestionDraft,
    QuestionTracker,
)
from marigolddoor_core.state.commands import MaintenanceStep, RecordMaintenance, RetireVm
from marigolddoor_core.state.objects import TaskState, VmRecord
from marigolddoor_core.targets import TargetState, TaskOrder, TaskOrderKind

__all__ = ["Maintenance"]

# Reboot requests are idempotent, so they are repeated in case the platform lost one.
REBOOT_REPEAT_S = 10.0
STOP_REPEAT_S = 5.0
# A VM boots within two minutes; one that takes longer than this needs an operator.
REBOOT_TIMEOUT_S = 300.0
# After a reboot, a VM must announce itself without interruption for this long.
VERIFY_PERIOD_S = 3.0
# Tasks checkpoint and requests end within their deadlines, so a drain takes much less time.
DRAIN_TIMEOUT_S = 600.0
# Sorts operators' requests before VMs from the calendar, whose sort keys are times.
REQUESTED_PRIORITY = float("-inf")


@dataclass(slots=True)
class _StepProgress:
    """What this leader has observed since a VM entered its current step."""

    step: MaintenanceStep
    since_s: float
    incarnation: str | None = None
    attempt: str = "first"
    was_unresponsive: bool = False
    steady_since_s: float | None = None
    rebooted_s: float | None = None
    stopped_s: float = float("-inf")
    proposed: MaintenanceStep | None = None
    proposed_s: float = 0.0


class Maintenance:
    """The maintenance decision: scheduled and requested maintenance, and failed reboots.

    Args:
      ledger: shared with every decision that takes VMs out of service.
      policy: chooses the VMs that go out of service next.
    """

    def __init__(
        self, ledger: BudgetLedger | None = None, policy: WavePolicy | None = None
    ) -> None:
        self.ledger = ledger or BudgetLedger()
        self.policy = policy or BudgetWave()
        self.questions = QuestionTracker(
            (maintenance_questions.NOT_BACK, maintenance_questions.STUCK_DRAIN)
        )
        self.progress: dict[VmId, _StepProgress] = {}

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the next steps of VMs under maintenance, and of the VMs of the next wave."""
        now_s = fleet.now_s
        self.questions.read(fleet)
        actions: list[Action] = []
        asked: list[QuestionDraft] = []
        tasks_left = _tasks_left(fleet)
        for vm, record in fleet.vms.items():
            progress = self._progress_of(vm, record, now_s)
            if progress is not None:
                actions += self._advance(fleet, record, progress, tasks_left.get(vm, 0), asked)
        for vm in [vm for vm in self.progress if vm not in fleet.vms]:
            del self.progress[vm]
        actions += self._start_wave(fleet)
        actions += self.questions.reconcile(now_s, asked)
        return tuple(actions)

    def _progress_of(self, vm: VmId, record: VmRecord, now_s: float) -> _StepProgress | None:
        step = record.maintenance
        if step is None or step is MaintenanceStep.DONE:
            self.progress.pop(vm, None)
            return None
        progress = self.progress.get(vm)
        if progress is None or progress.step is not step:
            old = progress
            progress = self.progress[vm] = _StepProgress(step, now_s)
            if old is not None:
                progress.incarnation = old.incarnation
                progress.attempt = old.attempt
        return progress

    def _advance(
        self,
        fleet: Fleet,
        record: VmRecord,
        progress: _StepProgress,
        tasks_left: int,
        asked: list[QuestionDraft],
    ) -> list[Action]:
        target = fleet.targets.get(record.vm)
        if record.maintenance is MaintenanceStep.DRAINING:
            return self._drain(fleet, record, progress, tasks_left, asked)
        if record.maintenance is MaintenanceStep.REBOOTING:
            return self._reboot(fleet, record, progress, target)
        if record.maintenance is MaintenanceStep.VERIFYING:
            return self._verify(fleet, record, progress, target)
        return self._repair(fleet, record, progress, target, asked)

    def _drain(
        self,
        fleet: Fleet,
        record: VmRecord,
        progress: _StepProgress,
        tasks_left: int,
        asked: list[QuestionDraft],
    ) -> list[Action]:
        now_s = fleet.now_s
        target = fleet.targets.get(record.vm)
        is_dead = target is not None and target.state is TargetState.DEAD
        if target is not None:
            progress.incarnation = target.announcement.incarnation
        is_drained = (
            target is not None
            and target.announcement.drained
            and target.announcement.epoch == record.epoch
        )
        if tasks_left == 0 and (is_drained or is_dead):
            return self._propose_step(record, progress, MaintenanceStep.REBOOTING, now_s)
        waited_s = now_s - progress.since_s
        if waited_s >= DRAIN_TIMEOUT_S:
            busy = 0 if target is None else target.announcement.busy_slots
            draft = maintenance_questions.drain_stuck(record.vm, tasks_left, busy, waited_s, now_s)
            asked.append(draft)
            if self.questions.answer(draft.subject) == "stop-tasks":
                return self._stop_tasks(fleet, record, progress)
        return []

    @staticmethod
    def _stop_tasks(fleet: Fleet, record: VmRecord, progress: _StepProgress) -> list[Action]:
        if fleet.now_s - progress.stopped_s < STOP_REPEAT_S:
            return []
        progress.stopped_s = fleet.now_s
        return [
            OrderTask(
                record.vm,
                record.epoch,
                TaskOrder(TaskOrderKind.STOP, task.task, task.job, task.token),
            )
            for task in fleet.tasks.values()
            if task.vm == record.vm and task.state is TaskState.LEASED
        ]

    def _reboot(
        self,
        fleet: Fleet,
        record: VmRecord,
        progress: _StepProgress,
        target: ObservedTarget | None,
    ) -> list[Action]:
        """Request the reboot until the VM announces another incarnation.

        The request contains the incarnation to end, so that a resend by a new leader is idempotent.
        A leader that does not know it treats a VM that was unresponsive and returned as rebooted.
        """
        now_s = fleet.now_s
        if target is None or is_unplanned_loss(record, target):
            progress.was_unresponsive = progress.was_unresponsive or target is not None
        elif progress.incarnation is None and not progress.was_unresponsive:
            progress.incarnation = target.announcement.incarnation
        elif target.announcement.incarnation != progress.incarnation:
            return self._propose_step(record, progress, MaintenanceStep.VERIFYING, now_s)
        if now_s - progress.since_s >= REBOOT_TIMEOUT_S:
            return self._propose_step(record, progress, MaintenanceStep.FAILED, now_s)
        if progress.incarnation is None:
            return []
        if progress.rebooted_s is not None and now_s - progress.rebooted_s < REBOOT_REPEAT_S:
            return []
        progress.rebooted_s = now_s
        request = f"{record.vm}:{record.epoch}:{progress.incarnation}:{progress.attempt}"
        return [RebootVm(record.vm, request)]

    def _verify(
        self,
        fleet: Fleet,
        record: VmRecord,
        progress: _StepProgress,
        target: ObservedTarget | None,
    ) -> list[Action]:
        now_s = fleet.now_s
        is_steady = (
            target is not None
            and not is_unplanned_loss(record, target)
            and target.announcement.epoch == record.epoch
            and record.capacity.fits(target.announcement.capacity)
        )
        if not is_steady or target is None:
            progress.steady_since_s = None
        elif (
            progress.steady_since_s is None
            or progress.incarnation != target.announcement.incarnation
        ):
            progress.incarnation = target.announcement.incarnation
            progress.steady_since_s = now_s
        elif now_s - progress.steady_since_s >= VERIFY_PERIOD_S:
            return self._propose_step(record, progress, MaintenanceStep.DONE, now_s)
        if now_s - progress.since_s >= REBOOT_TIMEOUT_S:
            return self._propose_step(record, progress, MaintenanceStep.FAILED, now_s)
        return []

    def _repair(
        self,
        fleet: Fleet,
        record: VmRecord,
        progress: _StepProgress,
        target: ObservedTarget | None,
        asked: list[QuestionDraft],
    ) -> list[Action]:
        """Wait for a failed VM, ask the operators about it and apply their answer."""
        now_s = fleet.now_s
        has_returned = target is not None and not is_unplanned_loss(record, target)
        if (
            target is not None
            and has_returned
            and progress.incarnation != target.announcement.incarnation
        ):
            return self._propose_step(record, progress, MaintenanceStep.VERIFYING, now_s)
        draft = maintenance_questions.vm_not_back(
            record.vm, record.pool, now_s - progress.since_s, now_s
        )
        asked.append(draft)
        answer = self.questions.answer(draft.subject)
        if answer == "reboot":
            progress.attempt = self.questions.open_by_subject[draft.subject].question
            return self._propose_step(record, progress, MaintenanceStep.REBOOTING, now_s)
        if answer == "retire" and self._may_propose(progress, MaintenanceStep.DONE, now_s):
            return [ProposeCommand(RetireVm(record.vm, record.epoch, now_s))]
        return []

    def _propose_step(
        self, record: VmRecord, progress: _StepProgress, step: MaintenanceStep, now_s: float
    ) -> list[Action]:
        if not self._may_propose(progress, step, now_s):
            return []
        return [ProposeCommand(RecordMaintenance(record.vm, record.epoch, step, now_s))]

    @staticmethod
    def _may_propose(progress: _StepProgress, step: MaintenanceStep, now_s: float) -> bool:
        if progress.proposed is step and now_s - progress.proposed_s < PROPOSAL_RETRY_S:
            return False
        progress.proposed, progress.proposed_s = step, now_s
        return True

    def _start_wave(self, fleet: Fleet) -> list[Action]:
        actions: list[Action] = []
        losses = self.ledger.losses(fleet)
        candidates = self._candidates(fleet, losses)
        for pool, waiting in candidates.items():
            for vm in self.policy.choose(losses[pool], waiting):
                self.ledger.reserve(vm, fleet.now_s)
                record = fleet.vms[vm]
                step = RecordMaintenance(vm, record.epoch, MaintenanceStep.DRAINING, fleet.now_s)
                actions.append(ProposeCommand(step))
        return actions

    def _candidates(
        self, fleet: Fleet, losses: dict[PoolId, PoolLoss]
    ) -> dict[PoolId, list[Candidate]]:
        reboot_answers = workers_with_answer(fleet.questions.values(), "reboot")
        candidates: dict[PoolId, list[Candidate]] = {}
        for pool, loss in losses.items():
            for vm, record in loss.members.items():
                if vm in loss.loss.planned or record.data_centre in fleet.unresponsive_data_centres:
                    continue
                if record.maintenance_requested or vm in reboot_answers:
                    candidates.setdefault(pool, []).append(Candidate(vm, REQUESTED_PRIORITY))
                    continue
                due_s = due_since_s(record, loss.pool, fleet.now_s)
                if due_s is not None and vm not in loss.loss.unplanned and loss.headroom() > 0:
                    candidates.setdefault(pool, []).append(Candidate(vm, due_s))
        return candidates


def _tasks_left(fleet: Fleet) -> dict[VmId, int]:
    """Return the number of leased tasks on each draining VM."""
    draining = {
        vm for vm, record in fleet.vms.items() if record.maintenance is MaintenanceStep.DRAINING
    }
    left: dict[VmId, int] = {}
    if draining:
        for task in fleet.tasks.values():
            if task.state is TaskState.LEASED and task.vm in draining and task.vm is not None:
                left[task.vm] = left.get(task.vm, 0) + 1
    return left
