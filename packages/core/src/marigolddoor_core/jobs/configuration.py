"""The configuration in force: queues of jobs and the services whose executors run them."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from marigolddoor_core.errors import InvalidInputError
from marigolddoor_core.ids import QueueName, ServiceId, TeamId
from marigolddoor_core.jobs.teams import KeyDigest, TeamSettings

__all__ = ["FleetConfiguration", "InvalidConfigurationError", "QueueSettings", "ServiceSettings"]


class InvalidConfigurationError(InvalidInputError):
    """A configuration that can't be parsed in full or that is inconsistent."""


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """A queue: the callers' path, the service that runs its jobs and how they are scheduled.

    `priority` 0 is the most urgent. A task that failed `max_attempts` times fails its job. A job is
    on time if it takes at most `slack_factor` times its critical path plus `latency_target_s`. If
    `needs_advice` is set, an adviser decides which executors may run a step. Callers of a public
    queue need no key.
    """

    name: QueueName
    host: str
    path_prefix: str
    service: ServiceId
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    latency_target_s: float = 0.0
    timeout_s: float = 0.0
    needs_advice: bool = False
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """A service. The machines of a `standby` service stay off until they move to another one."""

    name: ServiceId
    enforces_capacity: bool = True
    standby: bool = False


@dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the configuration.

    `teams` is None if callers need no key. With an empty tuple no key is valid.

    Example:
      >>> service = ServiceId("s")
      >>> queue = QueueSettings(QueueName("q"), "a.example", "/jobs/", service, timeout_s=60.0)
      >>> known = FleetConfiguration(1, (queue,), (ServiceSettings(service),))
      >>> known.find("a.example", "/jobs/17").name
      'q'
    """

    version: int
    queues: tuple[QueueSettings, ...]
    services: tuple[ServiceSettings, ...]
    teams: tuple[TeamSettings, ...] | None = None
    by_name: dict[QueueName, QueueSettings] = field(init=False, repr=False, compare=False)
    by_place: dict[tuple[str, str], QueueSettings] = field(init=False, repr=False, compare=False)
    service_by_name: dict[ServiceId, ServiceSettings] = field(init=False, repr=False, compare=False)
    team_by_name: dict[TeamId, TeamSettings] = field(init=False, repr=False, compare=False)
    team_by_key: dict[KeyDigest, TeamId] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "by_name", {queue.name: queue for queue in self.queues})
        places = {(queue.host, queue.path_prefix): queue for queue in self.queues}
        object.__setattr__(self, "by_place", places)
        object.__setattr__(self, "service_by_name", {item.name: item for item in self.services})
        teams = self.teams or ()
        object.__setattr__(self, "team_by_name", {team.name: team for team in teams})
        keys = {key: team.name for team in teams for key in team.keys}
        object.__setattr__(self, "team_by_key", keys)
        self._check()

    def _check(self) -> None:
        if len(self.by_place) < len(self.queues):
            raise InvalidConfigurationError("two queues share a host and a path")
        if len(self.by_name) < len(self.queues):
            raise InvalidConfigurationError("two queues share a name")
        if len(self.service_by_name) < len(self.services):
            raise InvalidConfigurationError("two services share a name")
        teams = self.teams or ()
        if len(self.team_by_name) < len(teams):
            raise InvalidConfigurationError("two teams share a name")
        if len(self.team_by_key) < sum(len(set(team.keys)) for team in teams):
            raise InvalidConfigurationError("two teams share a key")
        for queue in self.queues:
            if queue.service not in self.service_by_name:
                raise InvalidConfigurationError(
                    f"{queue.name}: service {queue.service} is not configured"
                )
            if queue.timeout_s <= 0:
                raise InvalidConfigurationError(f"{queue.name}: the timeout must be positive")

    def team_of_key(self, key: KeyDigest) -> TeamId | None:
        """Return the team that a key belongs to, or None if no team has it."""
        return self.team_by_key.get(key)

    def needs_key_below(self, host: str, folder: str) -> bool:
        """Return whether every call to a path that begins with `folder` needs a key."""
        queue = self.find(host, folder)
        return not (queue is not None and queue.is_public) and not any(
            queue.is_public and queue.host == host and queue.path_prefix.startswith(folder)
            for queue in self.queues
        )

    def find(self, host: str, path: str) -> QueueSettings | None:
        """Return the queue on `host` with the longest prefix of `path`, or None."""
        for prefix in _prefixes(path):
            queue = self.by_place.get((host, prefix))
            if queue is not None:
                return queue
        return None


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path, longest first."""
    for length in range(len(path), 0, -1):
        yield path[:length]
