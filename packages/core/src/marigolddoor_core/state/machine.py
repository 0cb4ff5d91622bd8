"""The replicated state machine: applies committed commands in log order."""

from collections.abc import Callable, Mapping
from typing import Any

from marigolddoor_core.declaration.organisation import Declaration, Job
from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import (
    ClaimId,
    DataCentreId,
    IdempotencyKey,
    JobId,
    LogIndex,
    OperatorId,
    QuestionId,
    Revision,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.state.checks import is_well_formed
from marigolddoor_core.state.claim_table import CLAIMS_LIMIT_BYTES, ClaimTable
from marigolddoor_core.state.commands import (
    AnswerQuestion,
    ApplyDeclaration,
    BeginMove,
    CancelTask,
    Claim,
    CloseQuestion,
    Command,
    ExpireClaims,
    FinishClaim,
    FinishMove,
    FinishTask,
    GrantLease,
    OpenQuestion,
    RecordMaintenance,
    RegisterVm,
    ReleaseClaim,
    RenewLease,
    RequestDrain,
    RetireVm,
    SetAsideTask,
    SubmitTask,
)
from marigolddoor_core.state.declarations import Declarations
from marigolddoor_core.state.journal import TOMBSTONE_LIMIT, Journal
from marigolddoor_core.state.objects import (
    Change,
    QuestionRecord,
    TaskRecord,
    VmRecord,
)
from marigolddoor_core.state.question_table import QuestionTable
from marigolddoor_core.state.request_results import RequestResults
from marigolddoor_core.state.results import DeclarationAccepted, Refusal, Refused, Result
from marigolddoor_core.state.snapshots import ClaimRecord, StateSnapshot
from marigolddoor_core.state.task_table import ENDED_TASKS_KEPT, TaskTable
from marigolddoor_core.state.vm_table import VmTable

__all__ = ["StateMachine"]

Applier = Callable[[Any, float], Result]


class StateMachine:
    """Applies commands to the replicated state.

    Two machines that apply the same commands at the same indexes have the same state and return
    the same results.

    Attributes:
      index: The log index of the last command applied.
      time_s: The consensus time, which is the highest time of any command so far.
    """

    def __init__(
        self,
        claims_limit_bytes: int = CLAIMS_LIMIT_BYTES,
        tombstone_limit: int = TOMBSTONE_LIMIT,
        ended_tasks_kept: int = ENDED_TASKS_KEPT,
    ) -> None:
        self.index = LogIndex(0)
        self.time_s = 0.0
        self._journal = Journal(tombstone_limit)
        self._request_results = RequestResults()
        self._declarations = Declarations(self._journal)
        self._vms = VmTable(self._journal, self._declarations)
        self._tasks = TaskTable(self._journal, self._declarations, self._vms, ended_tasks_kept)
        self._claims = ClaimTable(self._declarations, claims_limit_bytes)
        self._questions = QuestionTable(self._journal)
        self._appliers: dict[type[Any], Applier] = {
            ApplyDeclaration: self._apply_declaration,
            RegisterVm: self._vms.register,
            BeginMove: self._vms.begin_move,
            FinishMove: self._finish_move,
            RetireVm: self._vms.retire,
            SubmitTask: self._tasks.submit,
            GrantLease: self._tasks.grant,
            RenewLease: self._tasks.renew,
            FinishTask: self._tasks.finish,
            CancelTask: self._tasks.cancel,
            SetAsideTask: self._tasks.set_aside,
            Claim: lambda command, now_s: self._claims.claim(command, now_s, self.index),
            FinishClaim: self._claims.finish,
            ReleaseClaim: self._claims.release,
            ExpireClaims: self._claims.expire,
            OpenQuestion: lambda command, now_s: self._questions.open(command, now_s, self.index),
            AnswerQuestion: self._questions.answer,
            CloseQuestion: self._questions.close,
            RecordMaintenance: self._vms.record_maintenance,
            RequestDrain: self._request_drain,
        }

    @property
    def revision(self) -> Revision:
        """The revision of the declaration, 0 before the first one."""
        return self._declarations.revision

    @property
    def author(self) -> OperatorId:
        """The author of the revision, empty before the first one."""
        return self._declarations.author

    @property
    def declaration(self) -> Declaration:
        """The declaration in force."""
        return self._declarations.declaration

    @property
    def vms(self) -> Mapping[VmId, VmRecord]:
        """The VMs."""
        return self._vms.vms

    @property
    def tasks(self) -> Mapping[TaskId, TaskRecord]:
        """The tasks, including those that ended most recently."""
        return self._tasks.tasks

    @property
    def jobs(self) -> Mapping[JobId, Job]:
        """The declared jobs."""
        return self._declarations.jobs

    @property
    def questions(self) -> Mapping[QuestionId, QuestionRecord]:
        """The questions that are not closed, and those closed most recently."""
        return self._questions.questions

    @property
    def claims(self) -> Mapping[ClaimId, ClaimRecord]:
        """The claims that have not been removed, in the order of their grants."""
        return self._claims.claims

    @property
    def claims_used_bytes(self) -> int:
        """The number of bytes that the claims count against their memory limit."""
        return self._claims.used_bytes

    def find_claim(self, service: ServiceId, key: IdempotencyKey) -> ClaimRecord | None:
        """Return the claim on an idempotency key, or None."""
        return self._claims.find(service, key)

    def apply(self, index: LogIndex, command: Command) -> Result:
        """Apply the command committed at `index` and return its result.

        A command that cannot be applied changes nothing; its result is a refusal.

        Raises:
          InvalidInputError: `index` is not higher than that of the last command.
        """
        if index <= self.index:
            raise InvalidInputError(
                f"index {index} is not after the last applied index {self.index}"
            )
        self.index = index
        self._journal.index = index
        applier = self._appliers.get(type(command))
        if applier is None or not is_well_formed(command):
            return Refused(Refusal.INVALID, f"malformed {type(command).__name__}")
        self.time_s = max(self.time_s, command.time_s)
        return applier(command, self.time_s)

    def changes_after(
        self, index: LogIndex, data_centre: DataCentreId | None
    ) -> tuple[Change, ...] | None:
        """Return the changes that a watcher at `index` has not received yet.

        The changes are in log order; a change without a value removes the object. A watcher of a
        data centre gets the revision, services, pools, teams, weights and the VMs of its data
        centre; with `None` it gets every object. The cost grows with the number of objects changed
        after `index`.

        Returns:
          The changes, or None if removals after `index` are no longer kept, so that the watcher
          needs `all_changes`.
        """
        return self._journal.changes_after(index, data_centre)

    def all_changes(self, data_centre: DataCentreId | None) -> tuple[Change, ...]:
        """Return every object that a watcher of `data_centre` gets; see `changes_after`."""
        return self._journal.all_changes(data_centre)

    def snapshot(self) -> StateSnapshot:
        """Return the whole state as an immutable value."""
        declarations = self._declarations
        return StateSnapshot(
            self.index,
            self.time_s,
            declarations.revision,
            declarations.author,
            declarations.declaration,
            tuple(self._request_results.entries()),
            tuple(self._journal.entries()),
            tuple(self._claims.claims.values()),
            self._vms.retired_epoch,
            self._tasks.removed_token,
            self._journal.compactions(),
        )

    def restore(self, snapshot: StateSnapshot) -> None:
        """Replace the whole state with that of `snapshot`."""
        self.index = snapshot.index
        self.time_s = snapshot.time_s
        self._journal.restore(snapshot.index, snapshot.entries, snapshot.compactions)
        self._request_results.restore(snapshot.requests)
        self._declarations.restore(snapshot.revision, snapshot.author, snapshot.declaration)
        values = [entry.change.value for entry in snapshot.entries]
        self._vms.restore(
            (value for value in values if isinstance(value, VmRecord)), snapshot.retired_epoch
        )
        self._tasks.restore(
            (value for value in values if isinstance(value, TaskRecord)), snapshot.removed_token
        )
        self._questions.restore(value for value in values if isinstance(value, QuestionRecord))
        self._claims.restore(snapshot.claims)

    def _apply_declaration(self, command: ApplyDeclaration, now_s: float) -> Result:
        def apply() -> Result:
            jobs = self._declarations.jobs
            result = self._declarations.apply(command, self._vms.vms)
            if isinstance(result, DeclarationAccepted):
                self._tasks.reconcile_jobs(jobs, now_s)
            return result

        return self._request_results.apply_once(command.request, command.author, apply)

    def _request_drain(self, command: RequestDrain, now_s: float) -> Result:
        return self._request_results.apply_once(
            command.request, command.author, lambda: self._vms.request_drain(command, now_s)
        )

    def _finish_move(self, command: FinishMove, now_s: float) -> Result:
        vm = self._vms.current(command.vm, command.epoch)
        is_moving = isinstance(vm, VmRecord) and vm.next_pool is not None
        if is_moving and self._tasks.has_lease_on(command.vm, now_s):
            return Refused(Refusal.LEASE_HELD, f"{command.vm} holds task leases")
        return self._vms.finish_move(command, now_s)
