"""The operations of operators on the replicated state."""

from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.ids import JobId, OperatorId, PoolId
from marigolddoor_core.operations.errors import (
    AlreadyAnsweredError,
    BadRequestError,
    OperationRefusedError,
    RevisionConflictError,
    UnknownSubjectError,
)
from marigolddoor_core.operations.interfaces import (
    DeclarationRules,
    StateView,
    TimelinePosition,
    TimelineSource,
)
from marigolddoor_core.operations.report_builders import (
    jobs_report,
    pools_report,
    questions_report,
    status_report,
)
from marigolddoor_core.operations.reports import (
    ApplyReport,
    DoneReport,
    JobsReport,
    PlanReport,
    PoolsReport,
    QuestionsReport,
    StatusReport,
)
from marigolddoor_core.operations.requests import (
    AnswerRequest,
    ApplyRequest,
    DeclarationSource,
    DrainRequest,
    PlanRequest,
)
from marigolddoor_core.ports import Proposer
from marigolddoor_core.state.commands import AnswerQuestion, ApplyDeclaration, RequestDrain
from marigolddoor_core.state.results import (
    AlreadyAnswered,
    DeclarationAccepted,
    Done,
    Refusal,
    Refused,
    Result,
    RevisionConflict,
)
from marigolddoor_core.timeline import Timeline, TimelineFilter

__all__ = ["OperatorService"]

MAX_REQUEST_ID_LENGTH = 128


class OperatorService:
    """Serves operators: reads from this replica, and proposes changes to the consensus group."""

    def __init__(
        self,
        view: StateView,
        proposer: Proposer,
        rules: DeclarationRules,
        timeline: TimelineSource,
    ) -> None:
        self.view = view
        self.proposer = proposer
        self.rules = rules
        self.timeline_source = timeline

    def status(self) -> StatusReport:
        """Return a summary of the state of the system."""
        return status_report(self.view)

    def pools(self, only: PoolId | None) -> PoolsReport:
        """Return the pools.

        Raises:
          UnknownSubjectError: `only` is not a declared pool.
        """
        report = pools_report(self.view, only)
        if only is not None and not report.pools:
            raise UnknownSubjectError(f"there is no pool {only!r}")
        return report

    def jobs(self, only: JobId | None) -> JobsReport:
        """Return the jobs.

        Raises:
          UnknownSubjectError: `only` is not a declared job.
        """
        report = jobs_report(self.view, only)
        if only is not None and not report.jobs:
            raise UnknownSubjectError(f"there is no job {only!r}")
        return report

    def questions(self, with_closed: bool) -> QuestionsReport:
        """Return the open questions, and the closed ones if `with_closed`."""
        return questions_report(self.view, with_closed)

    async def timeline(
        self, wanted: TimelineFilter, after: tuple[TimelinePosition, ...], limit: int
    ) -> Timeline:
        """Return the events of all processes, merged into one order."""
        return await self.timeline_source.fetch(wanted, after, limit)

    def plan(self, request: PlanRequest) -> PlanReport:
        """Return what a declaration would change.

        Raises:
          InvalidInputError: the declaration has problems.
        """
        proposed = self._read(request.declaration)
        plan = self.rules.plan(self.view.declaration, proposed, self.view.vms)
        return PlanReport(self.view.revision, plan)

    async def apply(self, request: ApplyRequest, author: OperatorId) -> ApplyReport:
        """Make a declaration the next revision.

        Raises:
          InvalidInputError: the declaration has problems.
          RevisionConflictError: the current revision is not the base revision.
        """
        _check_request_id(request.request)
        proposed = self._read(request.declaration)
        result = await self.proposer.propose(
            ApplyDeclaration(request.base_revision, request.request, author, proposed)
        )
        if isinstance(result, DeclarationAccepted):
            return ApplyReport(result.revision, request.request, author)
        if isinstance(result, RevisionConflict):
            raise RevisionConflictError(
                result.base_revision, result.current_revision, result.current_author
            )
        raise _refusal_error(result)

    async def drain(self, request: DrainRequest, author: OperatorId) -> DoneReport:
        """Request the maintenance of a pool or a VM.

        Raises:
          BadRequestError: the request names neither or both.
          UnknownSubjectError: there is no such pool or VM.
        """
        _check_request_id(request.request)
        if (request.pool is None) == (request.vm is None):
            raise BadRequestError("name either a pool or a vm")
        result = await self.proposer.propose(
            RequestDrain(request.pool, request.vm, author, request.request)
        )
        if isinstance(result, Done):
            return DoneReport(request.request, author)
        raise _refusal_error(result)

    async def answer(self, request: AnswerRequest, author: OperatorId) -> DoneReport:
        """Answer a question.

        Raises:
          UnknownSubjectError: there is no such question.
          AlreadyAnsweredError: the question has another answer.
          OperationRefusedError: the question is closed or has no such choice.
        """
        _check_request_id(request.request)
        result = await self.proposer.propose(
            AnswerQuestion(request.question, request.choice, author, request.request)
        )
        if isinstance(result, Done):
            return DoneReport(request.request, author)
        if isinstance(result, AlreadyAnswered):
            raise AlreadyAnsweredError(result.choice, result.author)
        raise _refusal_error(result)

    def _read(self, source: DeclarationSource) -> Declaration:
        return self.rules.read_declaration(
            source.organisation, source.template, source.organisation_file, source.template_file
        )


def _check_request_id(request: str) -> None:
    if not 1 <= len(request) <= MAX_REQUEST_ID_LENGTH:
        raise BadRequestError(f"request must have 1 to {MAX_REQUEST_ID_LENGTH} characters")


def _refusal_error(result: Result) -> Exception:
    if isinstance(result, Refused):
        detail = result.detail or result.refusal.value
        if result.refusal is Refusal.UNKNOWN:
            return UnknownSubjectError(detail)
        return OperationRefusedError(detail)
    return OperationRefusedError(f"unexpected result {type(result).__name__}")
