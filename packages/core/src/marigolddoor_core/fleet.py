"""The input of the leader's decisions: a snapshot of replicated state and soft state."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from marigolddoor_core.declaration.organisation import Declaration
from marigolddoor_core.ids import DataCentreId, QuestionId, Revision, ServiceId, TaskId, VmId
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord, VmRecord
from marigolddoor_core.targets import Announcement, TargetState

__all__ = ["Demand", "Fleet", "FleetDelta", "ObservedTarget"]


@dataclass(frozen=True, slots=True)
class ObservedTarget:
    """The latest announcement of a target, its state and the age of the announcement."""

    announcement: Announcement
    state: TargetState
    age_s: float


@dataclass(frozen=True, slots=True)
class Demand:
    """The demand for one service over all entry processes, in the last `interval_s` seconds.

    `slots` is the mean number of slots held by admitted requests; `queued` and `refused` count the
    requests that are not admitted.
    """

    interval_s: float
    arrived: int
    admitted: int
    refused: int
    late: int
    queued: int
    slots: float


@dataclass(frozen=True, slots=True)
class FleetDelta:
    """The keys whose values differ between two consecutive fleets.

    `sequence` numbers the fleet that carries the delta, which is relative to the fleet with the
    previous number. A decision that missed a fleet compares all keys instead.
    """

    sequence: int
    vms: frozenset[VmId]
    tasks: frozenset[TaskId]
    targets: frozenset[VmId]


@dataclass(frozen=True, slots=True)
class Fleet:
    """The input of every decision on the leader. `now_s` is the consensus time in seconds."""

    now_s: float
    revision: Revision
    declaration: Declaration
    vms: Mapping[VmId, VmRecord] = field(default_factory=dict)
    tasks: Mapping[TaskId, TaskRecord] = field(default_factory=dict)
    questions: Mapping[QuestionId, QuestionRecord] = field(default_factory=dict)
    targets: Mapping[VmId, ObservedTarget] = field(default_factory=dict)
    demand: Mapping[ServiceId, Demand] = field(default_factory=dict)
    unresponsive_data_centres: frozenset[DataCentreId] = frozenset()
    delta: FleetDelta | None = None
