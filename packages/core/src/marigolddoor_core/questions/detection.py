"""Asks the operators about detected problems and carries out their answers."""

from collections.abc import Sequence
from dataclasses import replace

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ids import RequestId
from marigolddoor_core.maintenance.budget import BudgetLedger
from marigolddoor_core.placement.placement_questions import UNRESPONSIVE_TARGET
from marigolddoor_core.questions import detectors
from marigolddoor_core.questions.detectors import Detector, Finding
from marigolddoor_core.questions.question_tracker import (
    PROPOSAL_RETRY_S,
    QuestionDraft,
    QuestionTracker,
)
from marigolddoor_core.state.commands import ApplyDeclaration, RetireVm
from marigolddoor_core.state.objects import QuestionRecord
from marigolddoor_core.targets import Resources

__all__ = ["DETECTORS", "Detection"]

DETECTORS: tuple[Detector, ...] = (
    detectors.unresponsive_targets,
    detectors.unresponsive_racks,
    detectors.pools_over_budget,
    detectors.unsatisfiable_quotas,
    detectors.overdue_waves,
    detectors.unreachable_data_centres,
)
PREFIXES = (
    UNRESPONSIVE_TARGET,
    detectors.UNRESPONSIVE_RACK,
    detectors.POOL_BUDGET,
    detectors.QUOTA,
    detectors.OVERDUE,
    detectors.UNREACHABLE_DATA_CENTRE,
)


class Detection:
    """The decision that opens and closes questions about detected problems.

    Args:
      ledger: shared with the decisions that take VMs out of service.
      enabled_detectors: the detectors to run.
    """

    def __init__(
        self,
        ledger: BudgetLedger | None = None,
        enabled_detectors: Sequence[Detector] = DETECTORS,
    ) -> None:
        self.ledger = ledger or BudgetLedger()
        self.enabled_detectors = enabled_detectors
        self.questions = QuestionTracker(PREFIXES)
        self.since_s: dict[str, float] = {}
        self.carried_out_s: dict[str, float] = {}

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the questions to open and close, and the actions that answers require."""
        now_s = fleet.now_s
        self.questions.read(fleet)
        losses = self.ledger.losses(fleet)
        findings = [
            finding for detect in self.enabled_detectors for finding in detect(fleet, losses)
        ]
        subjects = {finding.draft.subject for finding in findings}
        self.since_s = {subject: self.since_s.get(subject, now_s) for subject in sorted(subjects)}
        actions = self.questions.reconcile(now_s, self._persistent(findings, now_s))
        for finding in findings:
            actions += self._carry_out(fleet, finding)
        return tuple(actions)

    def _persistent(self, findings: Sequence[Finding], now_s: float) -> list[QuestionDraft]:
        """Return the findings that have lasted long enough or already have an open question."""
        return [
            finding.draft
            for finding in findings
            if now_s - self.since_s[finding.draft.subject] >= finding.after_s
            or finding.draft.subject in self.questions.open_by_subject
        ]

    def _carry_out(self, fleet: Fleet, finding: Finding) -> list[Action]:
        subject = finding.draft.subject
        record = self.questions.open_by_subject.get(subject)
        if record is None or record.answer is None:
            return []
        last_s = self.carried_out_s.get(record.question, -PROPOSAL_RETRY_S)
        if fleet.now_s - last_s < PROPOSAL_RETRY_S:
            return []
        self.carried_out_s[record.question] = fleet.now_s
        if record.answer in ("retire", "lost"):
            return [ProposeCommand(RetireVm(vm.vm, vm.epoch, fleet.now_s)) for vm in finding.vms]
        if record.answer == "fit":
            return _revise(fleet, record, _fitted(fleet, record))
        if record.answer.startswith(detectors.ALLOW):
            return _revise(fleet, record, _allowed(fleet.declaration, record))
        return []


def _fitted(fleet: Fleet, record: QuestionRecord) -> Declaration:
    """Return the declaration with a satisfiable quota."""
    name = record.subject.removeprefix(detectors.QUOTA)
    declared = fleet.declaration
    total = sum((vm.capacity for vm in fleet.vms.values()), Resources(0.0, 0))
    teams = tuple(
        detectors.fitted_team(team, declared.jobs, total) if team.id == name else team
        for team in declared.teams
    )
    return replace(declared, teams=teams)


def _allowed(declared: Declaration, record: QuestionRecord) -> Declaration:
    """Return the declaration with the budget that the answer contains."""
    name = record.subject.partition(":")[2]
    vms = int((record.answer or "").removeprefix(detectors.ALLOW))
    pools = tuple(
        replace(pool, max_unavailable=max(pool.max_unavailable, vms)) if pool.id == name else pool
        for pool in declared.pools
    )
    return replace(declared, pools=pools)


def _revise(fleet: Fleet, record: QuestionRecord, revised: Declaration) -> list[Action]:
    """Propose a revision. The request id contains the base revision, so a conflict is retried."""
    if revised == fleet.declaration or record.author is None:
        return []
    request = RequestId(f"answer:{record.question}:{fleet.revision}")
    command = ApplyDeclaration(fleet.revision, request, record.author, revised, fleet.now_s)
    return [ProposeCommand(command)]
