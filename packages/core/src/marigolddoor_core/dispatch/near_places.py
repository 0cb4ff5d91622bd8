"""How long a task waits for a place near its data, instead of starting on another rack.

Meant for many tasks at a time whose data is on one rack while other racks have free capacity. Away
from its data a task takes `remote_factor` times as long, and occupies an executor for that long. A
place on the rack becomes free when a run there ends, which is predicted from expected durations.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.ids import RackId, TaskName
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import JobPhase, StepSpec, TaskPhase, TaskRecord, TaskSize

__all__ = [
    "EndComparison",
    "FixedWait",
    "MeanGapWait",
    "NeverWait",
    "PlaceWait",
    "RackForecast",
    "RunTimes",
    "slowdown",
]

# A run that is over its expected duration is taken to end after this share of it.
OVERDUE_SHARE = 0.2
# An end is committed, and the next start sent and confirmed, within about this time.
HANDOVER_S = 0.05
# Rounds are at most 0.25 s apart, so a rack that nobody has waited for in this time is not wanted.
WANTED_FOR_S = 0.3


def slowdown(spec: StepSpec, rack: RackId, remote_factor: float) -> float:
    """Return the factor by which a task of a step takes longer on a rack than near its data."""
    is_remote = bool(spec.preferred_rack) and rack != spec.preferred_rack
    return remote_factor if is_remote else 1.0


class PlaceWait(Protocol):
    """Decides whether a task waits for a place near its data."""

    def begin_round(self, executors: Iterable[Executor], now: Instant, time_s: float) -> None:
        """Begin a planning round over the executors of a service."""
        ...

    def should_wait(self, task: TaskRecord) -> bool:
        """Return whether a task that only fits away from its data waits. Called in plan order."""
        ...

    def is_wanted(self, rack: RackId) -> bool:
        """Return whether tasks wait for a rack, so that others had better use another one."""
        ...


class NeverWait:
    """The baseline: a task takes the nearest place that is free now."""

    def begin_round(self, executors: Iterable[Executor], now: Instant, time_s: float) -> None:
        """Do nothing."""

    def should_wait(self, task: TaskRecord) -> bool:
        """Return False."""
        return False

    def is_wanted(self, rack: RackId) -> bool:
        """Return False."""
        return False


@dataclass(frozen=True, slots=True)
class RunTimes:
    """What is known of the durations of tasks, in seconds.

    `expected` is the duration near the data, `deviation` how far durations are from it on average,
    and `slack` the time that the task's job can lose before it is late.
    """

    expected: Callable[[TaskRecord], float]
    deviation: Callable[[TaskRecord], float]
    slack: Callable[[TaskRecord, float], float]


class _Place:
    """The free capacity of an executor, now and after the expected ends of its runs."""

    def __init__(self, executor: Executor, ends: list[tuple[float, TaskSize]]) -> None:
        self.free = TaskSize(executor.free_cpu, executor.free_memory, executor.free_accelerators)
        self.ends = sorted(ends, key=lambda end: end[0])

    def earliest_s(self, size: TaskSize) -> float | None:
        """Return after how many seconds a task of a size fits; None if it never does."""
        free = self.free
        if _fits(size, free):
            return 0.0
        for wait_s, released in self.ends:
            free = _sum(free, released, 1)
            if _fits(size, free):
                return wait_s
        return None

    def claim(self, size: TaskSize, wait_s: float, duration_s: float) -> None:
        """Reserve the place for a task that starts after `wait_s`."""
        self.free = _sum(self.free, size, -1)
        self.ends.append((wait_s + duration_s, size))
        self.ends.sort(key=lambda end: end[0])


class RackForecast:
    """When places on one rack become free, for one planning round."""

    def __init__(
        self,
        executors: Iterable[Executor],
        now: Instant,
        duration_s: Callable[[TaskRecord, Executor], float],
    ) -> None:
        self.places = [_Place(e, _expected_ends(e, now, duration_s)) for e in executors]

    def claim(self, size: TaskSize, duration_s: float, within_s: float) -> float | None:
        """Reserve the first place that fits within a time; return the wait, or None.

        Later claims of the round see the place as taken, so that only as many tasks wait for a rack
        as it can take in time.
        """
        best: _Place | None = None
        best_s = within_s
        for place in self.places:
            wait_s = place.earliest_s(size)
            if wait_s is not None and wait_s <= best_s:
                best, best_s = place, wait_s
        if best is None:
            return None
        best.claim(size, best_s, duration_s)
        return best_s


def _expected_ends(
    executor: Executor, now: Instant, duration_s: Callable[[TaskRecord, Executor], float]
) -> list[tuple[float, TaskSize]]:
    ends = []
    for placed in executor.runs.values():
        spec = placed.task.step.spec
        if spec.is_long_running:
            continue
        began = placed.confirmed_at or placed.placed_at
        expected_s = duration_s(placed.task, executor)
        left_s = expected_s - (now - began)
        if left_s <= 0:
            left_s = OVERDUE_SHARE * expected_s
        size = spec.size
        cpu = 0 if spec.is_best_effort else size.cpu_milli
        ends.append((left_s, TaskSize(cpu, size.memory_mb, size.accelerators)))
    return ends


def _fits(size: TaskSize, free: TaskSize) -> bool:
    return (
        size.cpu_milli <= free.cpu_milli
        and size.memory_mb <= free.memory_mb
        and size.accelerators <= free.accelerators
    )


def _sum(left: TaskSize, right: TaskSize, sign: int) -> TaskSize:
    return TaskSize(
        left.cpu_milli + sign * right.cpu_milli,
        left.memory_mb + sign * right.memory_mb,
        left.accelerators + sign * right.accelerators,
    )


class _BoundedWait:
    """Common part of the policies that wait: racks of the round, and since when tasks wait."""

    def __init__(self) -> None:
        self.now = Instant(0.0)
        self.time_s = 0.0
        self.racks: dict[RackId, list[Executor]] = {}
        self.wanted_at: dict[RackId, Instant] = {}
        self.waiting: dict[TaskName, tuple[TaskRecord, Instant]] = {}

    def begin_round(self, executors: Iterable[Executor], now: Instant, time_s: float) -> None:
        """Group the executors by rack, and forget the tasks that no longer wait."""
        self.now, self.time_s = now, time_s
        self.racks = {}
        for executor in executors:
            self.racks.setdefault(executor.heartbeat.rack, []).append(executor)
        for name, (task, _) in list(self.waiting.items()):
            if task.phase is not TaskPhase.WAITING or task.step.job.phase is not JobPhase.ACTIVE:
                del self.waiting[name]

    def waited_s(self, task: TaskRecord) -> float:
        """Return for how long a task has waited, from the first call on."""
        return self.now - self.waiting.setdefault(task.name, (task, self.now))[1]

    def wait_for(self, rack: RackId) -> bool:
        """Record that a task waits for a rack; return True."""
        self.wanted_at[rack] = self.now
        return True

    def is_wanted(self, rack: RackId) -> bool:
        """Return whether a task has waited for a rack lately."""
        wanted_at = self.wanted_at.get(rack)
        return wanted_at is not None and self.now - wanted_at <= WANTED_FOR_S


class FixedWait(_BoundedWait):
    """Waits for the same time before each start away from the data."""

    def __init__(self, limit_s: float) -> None:
        super().__init__()
        self.limit_s = limit_s

    def should_wait(self, task: TaskRecord) -> bool:
        """Return whether the task has not waited for the whole time yet."""
        rack = RackId(task.step.spec.preferred_rack)
        return self.waited_s(task) < self.limit_s and self.wait_for(rack)


class MeanGapWait(_BoundedWait):
    """Waits if the mean gap between ends on the rack is shorter than the time that is saved.

    The gap is estimated as the mean duration of the rack's runs divided by their number. It counts
    neither the other waiting tasks nor how far the runs have come.
    """

    def __init__(self, times: RunTimes, remote_factor: float) -> None:
        super().__init__()
        self.times = times
        self.remote_factor = remote_factor

    def should_wait(self, task: TaskRecord) -> bool:
        """Return whether the next end is expected within the time that a near run saves."""
        rack = RackId(task.step.spec.preferred_rack)
        runs = [run for e in self.racks.get(rack, ()) for run in e.runs.values()]
        saved_s = (self.remote_factor - 1) * self.times.expected(task)
        if not runs or self.waited_s(task) >= saved_s:
            return False
        mean_s = sum(self.times.expected(run.task) for run in runs) / len(runs)
        return mean_s / len(runs) < saved_s and self.wait_for(rack)


class EndComparison(_BoundedWait):
    """Waits if the task is expected to end earlier near its data than on the free place.

    A wait ends when its forecast no longer pays, and at the latest when the task has
    waited for as long as a near run saves. While a start on the free place can still meet the job's
    deadline, the task waits only as long as that stays so.

    The time that a task may wait is the saved time multiplied by the utilisation of the service. A
    waiting task delays those behind it on the rack, and a remote one takes `remote_factor` times
    the capacity from all others, which matters as far as that capacity is in use. If each task
    waited for as long as it gains itself, the queue for the rack would be too long for all.
    """

    def __init__(self, times: RunTimes, remote_factor: float) -> None:
        super().__init__()
        self.times = times
        self.remote_factor = remote_factor
        self.forecasts: dict[RackId, RackForecast] = {}
        self.utilisation = 0.0

    def begin_round(self, executors: Iterable[Executor], now: Instant, time_s: float) -> None:
        """Drop the forecasts of the previous round."""
        executors = list(executors)
        super().begin_round(executors, now, time_s)
        self.forecasts = {}
        cores = sum(executor.heartbeat.capacity.cpu_milli for executor in executors)
        free = sum(executor.free_cpu for executor in executors)
        self.utilisation = 1 - free / cores if cores else 0.0

    def should_wait(self, task: TaskRecord) -> bool:
        """Return whether the wait for a near place pays."""
        spec = task.step.spec
        rack = RackId(spec.preferred_rack)
        near_s = self.times.expected(task)
        saved_s = (self.remote_factor - 1) * near_s
        limit_s = self.utilisation * saved_s - self.waited_s(task)
        slack_s = self.times.slack(task, self.time_s)
        if slack_s >= saved_s:
            limit_s = min(limit_s, slack_s - saved_s)
        margin_s = HANDOVER_S + self.times.deviation(task)
        forecast = self.forecasts.get(rack)
        if forecast is None:
            forecast = RackForecast(self.racks.get(rack, ()), self.now, self._duration_s)
            self.forecasts[rack] = forecast
        wait_s = forecast.claim(spec.size, near_s, limit_s - margin_s)
        return wait_s is not None and self.wait_for(rack)

    def _duration_s(self, task: TaskRecord, executor: Executor) -> float:
        rack = executor.heartbeat.rack
        return self.times.expected(task) * slowdown(task.step.spec, rack, self.remote_factor)
