"""The interfaces that operations use: the state, declarations, the timeline and metrics."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.declaration.organisation import Declaration, Job
from marigolddoor_core.declaration.plans import Plan
from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import (
    DataCentreId,
    JobId,
    LogIndex,
    OperatorId,
    ProcessId,
    QuestionId,
    ReplicaId,
    Revision,
    TaskId,
    VmId,
)
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, VmRecord
from marigolddoor_core.timeline.filters import TimelineFilter
from marigolddoor_core.timeline.timelines import Timeline

__all__ = [
    "DeclarationRules",
    "InForce",
    "MetricsSource",
    "StateView",
    "TimelinePosition",
    "TimelineSource",
]


@dataclass(frozen=True, slots=True)
class InForce:
    """The revision in force on an entry process, as it reported `age_s` seconds ago."""

    process: ProcessId
    revision: Revision
    data_centre: DataCentreId | None = None
    age_s: float | None = None


class StateView(Protocol):
    """The replicated state that this replica has applied, with the soft state reported to it.

    Only the leader has the soft state `targets` and `in_force`; on another replica it is empty or
    outdated.
    """

    @property
    def replica(self) -> ReplicaId:
        """The replica that serves this view."""
        ...

    @property
    def leader(self) -> ReplicaId | None:
        """The leader known to this replica, if any."""
        ...

    @property
    def index(self) -> LogIndex:
        """The log index of the last applied command."""
        ...

    @property
    def time_s(self) -> float:
        """The consensus time."""
        ...

    @property
    def revision(self) -> Revision:
        """The current revision, 0 before the first declaration."""
        ...

    @property
    def author(self) -> OperatorId:
        """The author of the current revision, empty before the first declaration."""
        ...

    @property
    def declaration(self) -> Declaration:
        """The current declaration, an empty one before the first."""
        ...

    @property
    def vms(self) -> Mapping[VmId, VmRecord]:
        """All registered VMs."""
        ...

    @property
    def tasks(self) -> Mapping[TaskId, TaskRecord]:
        """All tasks."""
        ...

    @property
    def jobs(self) -> Mapping[JobId, Job]:
        """The declared jobs."""
        ...

    @property
    def questions(self) -> Mapping[QuestionId, QuestionRecord]:
        """All questions, including answered and closed ones."""
        ...

    @property
    def in_force(self) -> tuple[InForce, ...]:
        """The revision in force on each known entry process."""
        ...

    @property
    def targets(self) -> Mapping[VmId, ObservedTarget]:
        """The observed targets."""
        ...


class DeclarationRules(Protocol):
    """Parses declarations and plans their changes."""

    def read_declaration(
        self,
        organisation: Mapping[str, object],
        template: Mapping[str, object],
        organisation_file: str,
        template_file: str,
    ) -> Declaration:
        """Return the declaration.

        Raises:
          InvalidInputError: with all problems.
        """
        ...

    def plan(
        self, current: Declaration, proposed: Declaration, vms: Mapping[VmId, VmRecord]
    ) -> Plan:
        """Return the plan of a change."""
        ...


@dataclass(frozen=True, slots=True)
class TimelinePosition:
    """The sequence number up to which the events of a process were read."""

    process: ProcessId
    sequence: int


class TimelineSource(Protocol):
    """Fetches the timeline of all processes of the system."""

    async def fetch(
        self, wanted: TimelineFilter, after: tuple[TimelinePosition, ...], limit: int
    ) -> Timeline:
        """Return the merged events; an unreachable process is listed as missing."""
        ...


class MetricsSource(Protocol):
    """Renders the metrics of a process."""

    def page(self) -> str:
        """Return the metrics in the text exposition format."""
        ...
