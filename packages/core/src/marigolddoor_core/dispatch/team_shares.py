"""Division of a service's room among teams: weighted max-min fairness over dominant resources.

Meant for a pool that several teams together request more of than it has, for instance because one
of them sends several times its usual load. The order by value alone then serves every team in
proportion to what it sends. Here a team that requests more than its share waits behind the teams
that do not, and only room that no other team requests lets it exceed its share.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from operator import le
from typing import Protocol

from marigolddoor_core.dispatch.planner import StepOrder
from marigolddoor_core.ids import JobId, ServiceId, TeamId
from marigolddoor_core.jobs import StepRecord, TaskSize, TeamSettings

__all__ = ["ServiceUsage", "SharedOrder", "TeamDemand", "team_shares"]

# The least weight that a team counts with, so that a configured weight of 0 starves no team.
MIN_WEIGHT = 1e-6
# Tolerance for rounding when shares are compared; a share is between 0 and 1.
TOLERANCE = 1e-9


class ServiceUsage(Protocol):
    """What each team holds of the executors of a service."""

    def of_service(self, service: ServiceId, team: TeamId) -> TaskSize:
        """Return the sum of the sizes of a team's runs in a service."""
        ...


@dataclass(frozen=True, slots=True)
class TeamDemand:
    """What a team holds in a service, what its steps wait for in addition, and its weight."""

    held: TaskSize
    waiting: TaskSize
    weight: float = 1.0


@dataclass(slots=True)
class _Filling:
    """A team during the filling: its full demand, and its use of each resource on the way there."""

    team: TeamId
    weight: float
    demand: float
    mix: tuple[float, ...]


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
    shares: dict[TeamId, float] = {}
    filling: list[_Filling] = []
    for team, demand in demands.items():
        wanted = _wanted_parts(demand, capacity)
        dominant = shares[team] = max(wanted)
        if dominant > 0:
            mix = tuple(part / dominant for part in wanted)
            filling.append(_Filling(team, max(demand.weight, MIN_WEIGHT), dominant, mix))
    filling.sort(key=lambda each: each.demand / each.weight)
    shares.update(_fill(filling))
    return shares


def _fill(filling: list[_Filling]) -> dict[TeamId, float]:
    """Return the shares of the teams whose demand is not met.

    Args:
      filling: the teams in the order in which they reach their demand.
    """
    limited: dict[TeamId, float] = {}
    resources = range(len(filling[0].mix)) if filling else range(0)
    used = [0.0 for _ in resources]
    growth = [sum(each.weight * each.mix[r] for each in filling) for r in resources]
    exhausted: set[int] = set()

    def settle(each: _Filling, share: float) -> None:
        for r in resources:
            used[r] += share * each.mix[r]
            growth[r] -= each.weight * each.mix[r]

    for position, each in enumerate(filling):
        while each.team not in limited:
            level, resource = min(
                (
                    (max(0.0, 1.0 - used[r]) / growth[r], r)
                    for r in resources
                    if r not in exhausted and growth[r] > TOLERANCE * each.weight
                ),
                default=(each.demand / each.weight, -1),
            )
            if resource < 0 or level >= each.demand / each.weight * (1 - TOLERANCE):
                settle(each, each.demand)
                break
            exhausted.add(resource)
            for other in filling[position:]:
                if other.team not in limited and other.mix[resource] > 0:
                    limited[other.team] = level * other.weight
                    settle(other, limited[other.team])
    return limited


class SharedOrder:
    """Sorts the steps of a service: those within the share of their team come first.

    Long-running steps stay in front of all others. Steps of jobs beyond the agreed rate of their
    team come after all others; among them those within the share are first again. Each group keeps
    the inner order. A step is
    within its team's share if the team's share is not used up before it, counting what the team
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
        budgets = self._budgets({team: TaskSize(*sums) for team, sums in waiting.items()})
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

    def _budgets(self, waiting: Mapping[TeamId, TaskSize]) -> dict[TeamId, "_Budget"]:
        """Return what the teams may place whose shares are smaller than their demands."""
        demands = {
            team: TeamDemand(self.held(team), size, self._weight(team))
            for team, size in waiting.items()
        }
        holdings = [self.free, *(demand.held for demand in demands.values())]
        capacity = TaskSize(*map(sum, zip(*map(_amounts, holdings), strict=True)))
        return {
            team: _Budget(share, demands[team].held, capacity)
            for team, share in team_shares(demands, capacity).items()
            if share < max(_wanted_parts(demands[team], capacity)) - TOLERANCE
        }

    def _weight(self, team: TeamId) -> float:
        settings = self.teams.get(team)
        if settings is not None:
            return settings.weight
        return sum(known.weight for known in self.teams.values()) / max(1, len(self.teams))


class _Budget:
    """What a team may still place before its share is used up."""

    def __init__(self, share: float, held: TaskSize, capacity: TaskSize) -> None:
        # A resource that the service does not have limits no team.
        self.cpu, self.memory, self.accelerators = (
            (share - TOLERANCE) * limit - used if limit else math.inf
            for used, limit in zip(_amounts(held), _amounts(capacity), strict=True)
        )

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


def _wanted_parts(demand: TeamDemand, capacity: TaskSize) -> list[float]:
    """Return the part of each resource's capacity that a team holds and waits for."""
    held, waiting = demand.held, demand.waiting
    return [
        (has + waits) / limit if limit else 0.0
        for has, waits, limit in zip(
            _amounts(held), _amounts(waiting), _amounts(capacity), strict=True
        )
    ]
