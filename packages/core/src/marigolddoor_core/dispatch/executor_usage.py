"""What each team holds of some executors, counted from the runs that are placed on them."""

from collections.abc import Iterable, Sequence

from marigolddoor_core.dispatch.executors import Executor
from marigolddoor_core.ids import TeamId
from marigolddoor_core.jobs import TaskSize

__all__ = ["ExecutorUsage", "free_size"]


class ExecutorUsage:
    """Counts the runs of each team on executors when it is first asked for one.

    Later changes are not seen, so an object serves one round.
    """

    def __init__(self, executors: Sequence[Executor]) -> None:
        self.executors = executors
        self.by_team: dict[TeamId, TaskSize] | None = None

    def of(self, team: TeamId) -> TaskSize:
        """Return the sum of the sizes of a team's runs."""
        if self.by_team is None:
            self.by_team = self._count()
        return self.by_team.get(team, TaskSize())

    def _count(self) -> dict[TeamId, TaskSize]:
        sums: dict[TeamId, list[int]] = {}
        for executor in self.executors:
            for placed in executor.runs.values():
                step = placed.task.step
                team, size = step.job.team, step.spec.size
                held = sums.get(team)
                if held is None:
                    held = sums[team] = [0, 0, 0]
                held[0] += size.cpu_milli
                held[1] += size.memory_mb
                held[2] += size.accelerators
        return {team: TaskSize(*held) for team, held in sums.items()}


def free_size(executors: Iterable[Executor]) -> TaskSize:
    """Return what the executors have free in total."""
    cpu = memory = accelerators = 0
    for executor in executors:
        cpu += max(0, executor.free_cpu)
        memory += max(0, executor.free_memory)
        accelerators += max(0, executor.free_accelerators)
    return TaskSize(cpu, memory, accelerators)
