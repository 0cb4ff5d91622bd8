"""Submitted jobs: their specifications and the replicated table of their state."""

from marigolddoor_core.jobs.changes import (
    AcceptJob,
    BeginUpkeep,
    CancelJob,
    ChangesRecorded,
    DropExecutor,
    EndRun,
    EnrolExecutor,
    FinishWave,
    JobChange,
    OpenWave,
    OrderMove,
    PlaceRun,
    RecordChanges,
    StoreConfiguration,
)
from marigolddoor_core.jobs.configuration import (
    FleetConfiguration,
    InvalidConfigurationError,
    QueueSettings,
    ServiceSettings,
)
from marigolddoor_core.jobs.enrolment import EnrolledExecutor, parse_incarnation
from marigolddoor_core.jobs.phases import JobPhase, RunEnd, TaskPhase
from marigolddoor_core.jobs.records import JobRecord, StepRecord, TaskRecord
from marigolddoor_core.jobs.specs import (
    InvalidJobError,
    JobSpec,
    StepSpec,
    TaskKey,
    TaskSize,
    parse_task_name,
)
from marigolddoor_core.jobs.table import DocumentReader, JobTable, TableObserver
from marigolddoor_core.jobs.teams import NO_KEY, NO_TEAM, KeyDigest, TeamSettings, digest_key
from marigolddoor_core.jobs.waves import WaveRecord

__all__ = [
    "NO_KEY",
    "NO_TEAM",
    "AcceptJob",
    "BeginUpkeep",
    "CancelJob",
    "ChangesRecorded",
    "DocumentReader",
    "DropExecutor",
    "EndRun",
    "EnrolExecutor",
    "EnrolledExecutor",
    "FinishWave",
    "FleetConfiguration",
    "InvalidConfigurationError",
    "InvalidJobError",
    "JobChange",
    "JobPhase",
    "JobRecord",
    "JobSpec",
    "JobTable",
    "KeyDigest",
    "OpenWave",
    "OrderMove",
    "PlaceRun",
    "QueueSettings",
    "RecordChanges",
    "RunEnd",
    "ServiceSettings",
    "StepRecord",
    "StepSpec",
    "StoreConfiguration",
    "TableObserver",
    "TaskKey",
    "TaskPhase",
    "TaskRecord",
    "TaskSize",
    "TeamSettings",
    "WaveRecord",
    "digest_key",
    "parse_incarnation",
    "parse_task_name",
]
