"""The typed steps of a scenario. Times are seconds of virtual time from its start."""

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
    """Declare a job. Its tasks use `wrong_by` times the declared size; `run_s` None never ends."""

    job: JobId
    pool: PoolId
    urgent: bool
    tasks: int
    run_s: float | None
    cores: int | None
    wrong_by: float


class Scope(Enum):
    """What a loss covers."""

    VM = "VM"
    RACK = "rack"
    DATA_CENTRE = "data centre"


@dataclass(frozen=True, slots=True)
class Lose:
    """Lose workers; None for `down_s` means until they are returned."""

    scope: Scope
    name: str
    down_s: float | None


@dataclass(frozen=True, slots=True)
class Return:
    """Return lost workers."""

    scope: Scope
    name: str


@dataclass(frozen=True, slots=True)
class CutOff:
    """Cut a data centre off."""

    data_centre: DataCentreId
    for_s: float | None


@dataclass(frozen=True, slots=True)
class ChangeLeader:
    """Put a new leader in place, after a time without one."""

    after_s: float


@dataclass(frozen=True, slots=True)
class DelayReports:
    """Delay every report."""

    by_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class FailWorker:
    """Let a worker fail every task that it starts."""

    vm: VmId
    for_s: float | None


@dataclass(frozen=True, slots=True)
class Submit:
    """Submit more tasks of a job."""

    tasks: int
    job: JobId


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the first tasks of a job that are not done."""

    tasks: int
    job: JobId


@dataclass(frozen=True, slots=True)
class Drain:
    """Ask for the maintenance of a pool."""

    pool: PoolId


@dataclass(frozen=True, slots=True)
class Demand:
    """Let the service of a pool ask for so many slots from now on."""

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
    """An event at a time. `text` is its line in the scenario."""

    at_s: float
    event: Event
    text: str


@dataclass(frozen=True, slots=True)
class Always:
    """A promise that holds at every step."""

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
    """A whole scenario."""

    pools: tuple[PoolStep, ...]
    racks: tuple[RackStep, ...]
    jobs: tuple[JobStep, ...]
    faults: tuple[Fault, ...]
    expectations: tuple[Expectation, ...]
