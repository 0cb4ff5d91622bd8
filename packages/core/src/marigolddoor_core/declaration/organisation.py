"""The declaration model: services, pools, teams, jobs and the weights of trade-offs."""

from dataclasses import dataclass

from marigolddoor_core.ids import JobId, OrganisationId, PoolId, ServiceId, TeamId
from marigolddoor_core.targets import Resources

__all__ = ["Declaration", "Job", "Pool", "Service", "Team", "Weights"]

DEFAULT_DEADLINE_S = 10.0
DEFAULT_RETRY_WINDOW_S = 600.0


@dataclass(frozen=True, slots=True)
class Service:
    """A kind of request and the pool that serves it.

    `floor_slots` is the number of slots reserved for this service. `rank` orders the services by
    urgency, 0 first. A request that is resent with the same idempotency key
    within `retry_window_s` gets the same answer.
    """

    id: ServiceId
    pool: PoolId
    idempotent: bool
    floor_slots: int
    rank: int = 0
    default_deadline_s: float = DEFAULT_DEADLINE_S
    retry_window_s: float = DEFAULT_RETRY_WINDOW_S


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of VMs with one availability budget.

    `max_unavailable` is the number of VMs that may be out of service at once, planned and
    unplanned together. A pool with `spare` lends the VMs above `floor`.
    """

    id: PoolId
    size: int
    floor: int
    max_unavailable: int
    spare: bool = False
    maintenance_interval_s: float = 6 * 7 * 86_400.0


@dataclass(frozen=True, slots=True)
class Team:
    """A group of callers with a quota. `slots` is the number of slots it may hold at once."""

    id: TeamId
    slots: int
    cores: float


@dataclass(frozen=True, slots=True)
class Job:
    """Work that runs as `tasks` tasks on the workers of a pool.

    A change of `version` starts a roll-out.
    """

    id: JobId
    pool: PoolId
    team: TeamId
    tasks: int
    size: Resources
    urgent: bool = False
    run_s: float = 0.0
    version: str = "1"
    command: str = ""


@dataclass(frozen=True, slots=True)
class Weights:
    """The weights of trade-offs; each is at least 0 and only their ratios matter."""

    buffer: float = 1.0
    flood: float = 1.0
    rollout: float = 1.0
    moves: float = 1.0


@dataclass(frozen=True, slots=True)
class Declaration:
    """The declaration of an organisation, with all template parameters substituted."""

    organisation: OrganisationId
    services: tuple[Service, ...]
    pools: tuple[Pool, ...]
    teams: tuple[Team, ...]
    jobs: tuple[Job, ...] = ()
    weights: Weights = Weights()
