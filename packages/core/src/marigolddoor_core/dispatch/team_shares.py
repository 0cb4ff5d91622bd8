"""Division of a service's room among teams: weighted max-min fairness over dominant resources.

Meant for a pool that several teams together request more of than it has, for instance because one
of them sends several times its usual load. The order by value alone then serves every team in
proportion to what it sends. Here a team that requests more than its share waits behind the teams
that do not, and only room that no other team requests lets it exceed its share.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from operator import le
from typing import NamedTuple

from marigolddoor_core.dispatch.planner import StepOrder
from marigolddoor_core.ids import JobId, TeamId
from marigolddoor_core.jobs import StepRecord, TaskSize, TeamSettings

__all__ = ["SharedOrder", "TeamDemand", "team_shares"]

# The least weight that a team counts with, so that a configured weight of 0 starves no team.
MIN_WEIGHT = 1e-6
# Tolerance for rounding when shares are compared; a share is between 0 and 1.
TOLERANCE = 1e-12


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """What a team holds in a service, what its steps wait for in addition, and its weight."""

    held: TaskSize
    waiting: TaskSize
    weight: float = 1.0


def team_shares(demands: Mapping[TeamId, TeamDemand], capacity: TaskSize) -> dict[TeamId, float]:
    """Return the dominant share that each team may reach, between 0 and 1.

    The dominant share of a team is the largest part of a resource's capacity that it uses. The
    shares of all teams grow in proportion to their weights, each team using the resources in the
    proportion of its demand. A team stops at its demand, or when a resource that it uses is
    exhausted. Thus what one team does not request is divided among the others.

    Example:
      >>> small = TeamDemand(TaskSize(), TaskSize(1000))
      >>> large = TeamDemand(TaskSize(), TaskSize(9000))
      >>> team_shares({TeamId("a"): small, TeamId("b"): large}, TaskSize(4000))
      {'a': 0.25, 'b': 0.75}
    """
    requests = [
        _Request(
            team,
            max(demand.weight, MIN_WEIGHT),
            demand.held.cpu_milli + demand.waiting.cpu_milli,
            demand.held.memory_mb + demand.waiting.memory_mb,
            demand.held.accelerators + demand.waiting.accelerators,
        )
        for team, demand in demands.items()
    ]
    parts = _parts(requests, capacity)
    shares = {part.team: part.level * part.weight for part in parts}
    return dict.fromkeys(demands, 0.0) | shares | _limited_shares(parts)


class _Request(NamedTuple):
    """What a team holds and waits for together."""

    team: TeamId
    weight: float
    cpu: int
    memory: int
    accelerators: int


class _Part(NamedTuple):
    """A request as parts of the capacity; the last three fields are those of the resources.

    `level` is the dominant share divided by the weight.
    """

    level: float
    team: TeamId
    weight: float
    cpu: float
    memory: float
    accelerators: float


def _parts(requests: Iterable[_Request], capacity: TaskSize) -> list[_Part]:
    """Return the requests that are not empty, in the order in which the filling meets them."""
    # A resource that the service does not have limits no team.
    by_cpu = 1 / (capacity.cpu_milli or math.inf)
    by_memory = 1 / (capacity.memory_mb or math.inf)
    by_accelerators = 1 / (capacity.accelerators or math.inf)
    parts: list[_Part] = []
    for team, weight, cpu_milli, memory_mb, count in requests:
        cpu, memory, accelerators = (
            cpu_milli * by_cpu,
            memory_mb * by_memory,
            count * by_accelerators,
        )
        dominant = max(cpu, memory, accelerators)
        if dominant > 0:
            parts.append(_Part(dominant / weight, team, weight, cpu, memory, accelerators))
    parts.sort()
    return parts


def _limited_shares(parts: list[_Part]) -> dict[TeamId, float]:
    """Return the shares of the teams whose requests are not met.

    The loops are written out for the three resources, since a round of the whole fleet runs them
    for tens of thousands of teams.

    Args:
      parts: the requests by ascending level.
    """
    limited: dict[TeamId, float] = {}
    # What the teams use that the filling has finished with, and the growth of the others by level.
    used = [0.0, 0.0, 0.0]
    growth = [0.0, 0.0, 0.0]
    for level, _, _, cpu, memory, accelerators in parts:
        growth[0] += cpu / level
        growth[1] += memory / level
        growth[2] += accelerators / level
    while parts:
        met, resource, full_at = _fill_until_full(parts, used, growth)
        if resource is None:
            break
        stopped = [part for part in parts[met:] if part[3:][resource] > 0]
        limited.update((part.team, full_at * part.weight) for part in stopped)
        parts = [part for part in parts[met:] if part[3:][resource] <= 0]
        if parts:
            for part in stopped:
                for r, amount in enumerate(part[3:]):
                    used[r] += amount * full_at / part.level
                    growth[r] -= amount / part.level
            growth[resource] = 0.0
    return limited


def _fill_until_full(
    parts: list[_Part], used: list[float], growth: list[float]
) -> tuple[int, int | None, float]:
    """Raise the level until a resource is full; update `used` and `growth`.

    Return the number of requests that were met, the resource and the level; no resource if all
    requests were met.
    """
    limit = 1 + TOLERANCE
    cpu_used, memory_used, accelerators_used = used
    cpu_growth, memory_growth, accelerators_growth = growth
    met = 0
    for level, _, _, cpu, memory, accelerators in parts:
        if (
            cpu_used + level * cpu_growth > limit
            or memory_used + level * memory_growth > limit
            or accelerators_used + level * accelerators_growth > limit
        ):
            break
        met += 1
        cpu_used += cpu
        cpu_growth -= cpu / level
        if memory:
            memory_used += memory
            memory_growth -= memory / level
        if accelerators:
            accelerators_used += accelerators
            accelerators_growth -= accelerators / level
    used[:] = cpu_used, memory_used, accelerators_used
    growth[:] = cpu_growth, memory_growth, accelerators_growth
    if met == len(parts):
        return met, None, 0.0
    next_level = parts[met].level
    full_at, resource = min(
        (max(0.0, 1.0 - used[r]) / growth[r], r)
        for r in range(3)
        if used[r] + next_level * growth[r] > limit
    )
    return met, resource, full_at


class SharedOrder:
    """Sorts the steps of a service: those within the share of their team come first.

    Long-running steps stay in front of all others. Steps of jobs beyond the agreed rate of their
    team come after all others; among them those within the share are first again. Each group keeps
    the inner order.

    A step is within its team's share if the share is not used up before it, counting what the team
    holds and its steps earlier in the inner order. So a team may exceed its share by one step,
    without which a team whose share is smaller than one task would never be served. If all steps
    belong to one team, the order is the inner order.

    Args:
      inner: the order of the steps of each group.
      teams: the configured teams. All other teams, and jobs without a team, have the mean weight.
      held: returns what a team holds of the executors of the service.
      free: what the executors that accept work have free. It is divided together with what the
        waiting teams hold, since no team gives up what it holds.
      is_beyond_rate: returns whether a job is beyond the rate that its team agreed on.
    """

    def __init__(
        self,
        inner: StepOrder,
        teams: Mapping[TeamId, TeamSettings],
        held: Callable[[TeamId], TaskSize],
        free: TaskSize,
        is_beyond_rate: Callable[[JobId], bool],
    ) -> None:
        self.inner = inner
        self.teams = teams
        self.held = held
        self.free = free
        self.is_beyond_rate = is_beyond_rate

    def sort(self, steps: list[StepRecord], time_s: float) -> list[StepRecord]:
        """Return the steps in scheduling order."""
        ordered = self.inner.sort(steps, time_s)
        waiting: dict[TeamId, list[int]] = {}
        for step in ordered:
            sums = waiting.get(step.job.team)
            if sums is None:
                sums = waiting[step.job.team] = [0, 0, 0]
            size, count = step.spec.size, step.waiting
            sums[0] += size.cpu_milli * count
            sums[1] += size.memory_mb * count
            sums[2] += size.accelerators * count
        # Most rounds end here: a single team's order is the inner order, and if all steps fit
        # together then each is within its team's share.
        if len(waiting) < 2 or all(
            map(le, map(sum, zip(*waiting.values(), strict=True)), _amounts(self.free))
        ):
            return ordered
        budgets = self._budgets(waiting)
        groups: dict[bool, list[StepRecord]] = {True: [], False: []}
        long_running: list[StepRecord] = []
        for step in ordered:
            if step.spec.is_long_running:
                long_running.append(step)
            else:
                groups[self.is_beyond_rate(step.job.job)].append(step)
        # Long-running steps are placed first, so they use up their teams' shares first.
        for step in long_running:
            if step.job.team in budgets:
                budgets[step.job.team].takes(step)
        return (
            long_running
            + _within_first(groups[False], budgets)
            + _within_first(groups[True], budgets)
        )

    def _budgets(self, waiting: Mapping[TeamId, Sequence[int]]) -> dict[TeamId, "_Budget"]:
        """Return what the teams may place whose shares are smaller than their demands."""
        held = {team: self.held(team) for team in waiting}
        capacity = TaskSize(
            self.free.cpu_milli + sum(size.cpu_milli for size in held.values()),
            self.free.memory_mb + sum(size.memory_mb for size in held.values()),
            self.free.accelerators + sum(size.accelerators for size in held.values()),
        )
        requests: list[_Request] = []
        for team, (cpu, memory, accelerators) in waiting.items():
            size = held[team]
            requests.append(
                _Request(
                    team,
                    self._weight(team),
                    size.cpu_milli + cpu,
                    size.memory_mb + memory,
                    size.accelerators + accelerators,
                )
            )
        limited = _limited_shares(_parts(requests, capacity))
        return {team: _Budget(share, held[team], capacity) for team, share in limited.items()}

    def _weight(self, team: TeamId) -> float:
        settings = self.teams.get(team)
        if settings is not None:
            return max(settings.weight, MIN_WEIGHT)
        return (
            sum(known.weight for known in self.teams.values()) / len(self.teams)
            if self.teams
            else 1.0
        )


class _Budget:
    """What a team may still place before its share is used up."""

    __slots__ = ("accelerators", "cpu", "memory")

    def __init__(self, share: float, held: TaskSize, capacity: TaskSize) -> None:
        # A resource that the service does not have limits no team.
        limit = share - TOLERANCE
        self.cpu = limit * (capacity.cpu_milli or math.inf) - held.cpu_milli
        self.memory = limit * (capacity.memory_mb or math.inf) - held.memory_mb
        self.accelerators = limit * (capacity.accelerators or math.inf) - held.accelerators

    def takes(self, step: StepRecord) -> bool:
        """Count a step, and return whether the share was not used up before it."""
        is_within = self.cpu > 0 and self.memory > 0 and self.accelerators > 0
        if is_within:
            size, count = step.spec.size, step.waiting
            self.cpu -= size.cpu_milli * count
            self.memory -= size.memory_mb * count
            self.accelerators -= size.accelerators * count
        return is_within


def _within_first(
    ordered: Iterable[StepRecord], budgets: Mapping[TeamId, _Budget]
) -> list[StepRecord]:
    """Return the steps within the budget of their team, then the others."""
    within: list[StepRecord] = []
    beyond: list[StepRecord] = []
    for step in ordered:
        budget = budgets.get(step.job.team)
        (within if budget is None or budget.takes(step) else beyond).append(step)
    return within + beyond


def _amounts(size: TaskSize) -> tuple[int, int, int]:
    return size.cpu_milli, size.memory_mb, size.accelerators
