"""Read model for operators: this replica's replicated state and the reports that it received."""

from collections.abc import Callable, Mapping

from marigolddoor_core.declaration.organisation import Declaration, Job
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import (
    JobId,
    LogIndex,
    OperatorId,
    QuestionId,
    ReplicaId,
    Revision,
    TaskId,
    VmId,
)
from marigolddoor_core.instants import Instant, elapsed
from marigolddoor_core.operations.interfaces import InForce
from marigolddoor_core.reports import FleetReports
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, VmRecord

from marigolddoor_control.consensus_service import ConsensusService

__all__ = ["ControlView"]


class ControlView:
    """Implements `marigolddoor_core.operations.interfaces.StateView` for one control process."""

    def __init__(
        self,
        state: StateMachine,
        consensus: ConsensusService,
        reports: FleetReports,
        clock: Callable[[], float],
    ) -> None:
        self.state = state
        self.consensus = consensus
        self.reports = reports
        self.clock = clock

    @property
    def replica(self) -> ReplicaId:
        """The replica of this process."""
        return self.consensus.replica_id

    @property
    def leader(self) -> ReplicaId | None:
        """The leader, or None if this replica knows none."""
        replica = self.consensus.replica
        return None if replica is None else replica.leader

    @property
    def index(self) -> LogIndex:
        """The log index up to which the state is applied."""
        return self.state.index

    @property
    def time_s(self) -> float:
        """The consensus time."""
        return self.consensus.consensus_time()

    @property
    def revision(self) -> Revision:
        """The current revision, 0 before the first declaration."""
        return self.state.revision

    @property
    def author(self) -> OperatorId:
        """The author of the current revision, empty before the first declaration."""
        return self.state.author

    @property
    def declaration(self) -> Declaration:
        """The current declaration, empty before the first one."""
        return self.state.declaration

    @property
    def vms(self) -> Mapping[VmId, VmRecord]:
        """All registered VMs."""
        return self.state.vms

    @property
    def tasks(self) -> Mapping[TaskId, TaskRecord]:
        """All tasks."""
        return self.state.tasks

    @property
    def jobs(self) -> Mapping[JobId, Job]:
        """The declared jobs."""
        return self.state.jobs

    @property
    def questions(self) -> Mapping[QuestionId, QuestionRecord]:
        """All questions, open or not."""
        return self.state.questions

    @property
    def in_force(self) -> tuple[InForce, ...]:
        """The revision in force on each entry process that reports to this process."""
        now = Instant(self.clock())
        return tuple(
            InForce(
                report.process, report.in_force, report.data_centre, elapsed(report.received, now)
            )
            for report in self.reports.entries.values()
        )

    @property
    def targets(self) -> Mapping[VmId, ObservedTarget]:
        """The observed targets."""
        return self.reports.targets(Instant(self.clock()))
