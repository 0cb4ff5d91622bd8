"""Typed steps of a scenario. Times are seconds of virtual time since its start."""

from dataclasses import dataclass
from enum import Enum

from marigolddoor_core.ids import DataCentreId, JobId, PoolId, RackId, VmId

from marigolddoor_standins.virtual.checks import Promise

__all__ = [
    "Always",
    "Cancel",
    "ChangeLeader",
    "CutOff",
    "DelayReports",
    "Demand",
    "Drain",
    "Event",
    "Expectation",
    "FailWorker",
    "Fault",
    "JobDone",
    "JobStep",
    "Lose",
    "Moved",
    "PoolStep",
    "Question",
    "RackStep",
    "Return",
    "Scenario",
    "Scope",
    "Submit",
    "WaveDone",
]


@dataclass(frozen=True, slots=True)
class PoolStep:
    """Declare a pool."""

    pool: PoolId
    size: int
    floor: int
    budget: int
    spare: bool


@dataclass(frozen=True, slots=True)
class RackStep:
    """Register the workers of a rack."""

    rack: RackId
    data_centre: DataCentreId
    workers: int
    pool: PoolId


@dataclass(frozen=True, slots=True)
class JobStep:
    """Declare a job. Tasks use `usage_factor` times the declared size; `run_s` None never ends."""

    job: JobId
    pool: PoolId
    urgent: bool
    tasks: int
    run_s: float | None
    cores: int | None
    usage_factor: float


class Scope(Enum):
    """The kind of object that a loss affects."""

    VM = "VM"
    RACK = "rack"
    DATA_CENTRE = "data centre"


@dataclass(frozen=True, slots=True)
class Lose:
    """Take workers down for `down_s`, or until a `Return` if it is None."""

    scope: Scope
    name: str
    down_s: float | None


@dataclass(frozen=True, slots=True)
class Return:
    """Bring lost workers back."""

    scope: Scope
    name: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """Make a data centre unreachable."""

    data_centre: DataCentreId
    for_s: float | None


@dataclass(frozen=True, slots=True)
class ChangeLeader:
    """Replace the leader after `after_s` without one."""

    after_s: float


@dataclass(frozen=True, slots=True)
class DelayReports:
    """Delay every report."""

    by_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class FailWorker:
    """Make a worker fail every task that it starts."""

    vm: VmId
    for_s: float | None


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit more tasks of a job."""

    tasks: int
    job: JobId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the first unfinished tasks of a job."""

    tasks: int
    job: JobId


@dataclass(frozen=True, slots=True)
class Drain:
    """Request maintenance of a pool."""

    pool: PoolId


@dataclass(frozen=True, slots=True)
class Demand:
    """Set the number of slots that the service of a pool demands."""

    pool: PoolId
    slots: int


Event = (
    Lose
    | Return
    | CutOff
    | ChangeLeader
    | DelayReports
    | FailWorker
    | Submit
    | Cancel
    | Drain
    | Demand
)


@dataclass(frozen=True, slots=True)
class Fault:
    """An event at a time. `text` is its source line."""

    at_s: float
    event: Event
    text: str


@dataclass(frozen=True, slots=True)
class Always:
    """Expects an invariant to hold at every step."""

    promise: Promise


@dataclass(frozen=True, slots=True)
class WaveDone:
    """Every VM of the pool was maintained since the last drain of the pool."""

    by_s: float
    pool: PoolId


@dataclass(frozen=True, slots=True)
class JobDone:
    """Every task of the job is finished or cancelled, after its last `submit`."""

    by_s: float
    job: JobId


@dataclass(frozen=True, slots=True)
class Moved:
    """A VM of another pool has moved to the pool."""

    by_s: float
    pool: PoolId


@dataclass(frozen=True, slots=True)
class Question:
    """A question about the subject was opened."""

    by_s: float
    subject: str


Expectation = Always | WaveDone | JobDone | Moved | Question


@dataclass(frozen=True, slots=True)
class Scenario:
    """A parsed scenario."""

    pools: tuple[PoolStep, ...]
    racks: tuple[RackStep, ...]
    jobs: tuple[JobStep, ...]
    faults: tuple[Fault, ...]
    expectations: tuple[Expectation, ...]
