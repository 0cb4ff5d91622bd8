"""The events recorded for committed commands."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from marigolddoor_core.state.commands import (
    AnswerQuestion,
    ApplyDeclaration,
    BeginMove,
    CancelTask,
    Claim,
    CloseQuestion,
    Command,
    FinishMove,
    FinishTask,
    GrantLease,
    OpenQuestion,
    RecordMaintenance,
    RegisterVm,
    RequestDrain,
    RetireVm,
    SetAsideTask,
)
from marigolddoor_core.state.results import (
    ClaimGranted,
    DeclarationAccepted,
    Done,
    LeaseGranted,
    MoveBegun,
    QuestionOpened,
    Result,
    RevisionConflict,
)
from marigolddoor_core.targets import TaskPhase
from marigolddoor_core.timeline.events import EventKind, Subject

__all__ = ["CommandEvent", "command_event"]

PHASE_EVENTS = {
    TaskPhase.FINISHED: EventKind.TASK_FINISHED,
    TaskPhase.FAILED: EventKind.TASK_FAILED,
    TaskPhase.STOPPED: EventKind.TASK_FAILED,
    TaskPhase.CHECKPOINTED: EventKind.TASK_CHECKPOINTED,
}


@dataclass(frozen=True, slots=True)
class CommandEvent:
    """The content of the event for a command."""

    kind: EventKind
    subject: Subject
    text: str = ""


def command_event(command: Command, result: Result) -> CommandEvent | None:
    """Return the event for a command and its result, or None if none is recorded."""
    build_event = _EVENT_BUILDERS.get(type(command))
    return None if build_event is None else build_event(command, result)


def _declaration_applied(command: ApplyDeclaration, result: Result) -> CommandEvent | None:
    if isinstance(result, DeclarationAccepted):
        subject = Subject(revision=result.revision)
        return CommandEvent(EventKind.REVISION_ACCEPTED, subject, f"by {command.author}")
    if isinstance(result, RevisionConflict):
        return CommandEvent(
            EventKind.REVISION_REFUSED,
            Subject(revision=result.current_revision),
            f"{command.author} started from {result.base_revision}",
        )
    return None


def _vm_registered(command: RegisterVm, result: Result) -> CommandEvent | None:
    return _if_done(EventKind.TARGET_JOINED, Subject(vm=command.vm, pool=command.pool), result)


def _vm_retired(command: RetireVm, result: Result) -> CommandEvent | None:
    return _if_done(EventKind.TARGET_LEFT, Subject(vm=command.vm), result)


def _move_begun(command: BeginMove, result: Result) -> CommandEvent | None:
    if not isinstance(result, MoveBegun):
        return None
    return CommandEvent(EventKind.MOVE_BEGUN, Subject(vm=command.vm, pool=command.pool))


def _move_finished(command: FinishMove, result: Result) -> CommandEvent | None:
    return _if_done(EventKind.MOVE_FINISHED, Subject(vm=command.vm), result)


def _task_leased(command: GrantLease, result: Result) -> CommandEvent | None:
    if not isinstance(result, LeaseGranted):
        return None
    subject = Subject(vm=command.vm, task=command.task)
    return CommandEvent(EventKind.TASK_LEASED, subject, f"token {result.token}")


def _task_ended(command: FinishTask, result: Result) -> CommandEvent | None:
    kind = PHASE_EVENTS.get(command.phase)
    if kind is None:
        return None
    return _if_done(kind, Subject(task=command.task), result, command.reason)


def _task_cancelled(command: CancelTask, result: Result) -> CommandEvent | None:
    return _if_done(EventKind.TASK_CANCELLED, Subject(task=command.task), result)


def _task_set_aside(command: SetAsideTask, result: Result) -> CommandEvent | None:
    return _if_done(EventKind.TASK_SET_ASIDE, Subject(task=command.task), result, command.reason)


def _claim_decided(command: Claim, result: Result) -> CommandEvent | None:
    granted = isinstance(result, ClaimGranted)
    kind = EventKind.CLAIM_GRANTED if granted else EventKind.CLAIM_REFUSED
    text = "" if granted else type(result).__name__
    return CommandEvent(kind, Subject(service=command.service), text)


def _question_opened(command: OpenQuestion, result: Result) -> CommandEvent | None:
    if not isinstance(result, QuestionOpened):
        return None
    subject = Subject(question=result.question)
    return CommandEvent(EventKind.QUESTION_OPENED, subject, command.sentence)


def _question_answered(command: AnswerQuestion, result: Result) -> CommandEvent | None:
    subject = Subject(question=command.question)
    text = f"{command.choice} by {command.author}"
    return _if_done(EventKind.QUESTION_ANSWERED, subject, result, text)


def _question_closed(command: CloseQuestion, result: Result) -> CommandEvent | None:
    subject = Subject(question=command.question)
    return _if_done(EventKind.QUESTION_CLOSED, subject, result, command.reason)


def _maintenance_recorded(command: RecordMaintenance, result: Result) -> CommandEvent | None:
    subject = Subject(vm=command.vm)
    return _if_done(EventKind.MAINTENANCE_STEP, subject, result, command.step.value)


def _drain_requested(command: RequestDrain, result: Result) -> CommandEvent | None:
    subject = Subject(vm=command.vm, pool=command.pool)
    return _if_done(EventKind.MAINTENANCE_REQUESTED, subject, result, f"by {command.author}")


def _if_done(
    kind: EventKind, subject: Subject, result: Result, text: str = ""
) -> CommandEvent | None:
    return CommandEvent(kind, subject, text) if isinstance(result, Done) else None


_EVENT_BUILDERS: dict[type[Any], Callable[[Any, Result], CommandEvent | None]] = {
    ApplyDeclaration: _declaration_applied,
    RegisterVm: _vm_registered,
    RetireVm: _vm_retired,
    BeginMove: _move_begun,
    FinishMove: _move_finished,
    GrantLease: _task_leased,
    FinishTask: _task_ended,
    CancelTask: _task_cancelled,
    SetAsideTask: _task_set_aside,
    Claim: _claim_decided,
    OpenQuestion: _question_opened,
    AnswerQuestion: _question_answered,
    CloseQuestion: _question_closed,
    RecordMaintenance: _maintenance_recorded,
    RequestDrain: _drain_requested,
}
