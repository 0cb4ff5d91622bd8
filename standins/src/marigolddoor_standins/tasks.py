"""Tasks on a stand-in worker, each of which runs under a lease."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from marigolddoor_standins.ledger import Ledger

__all__ = ["WorkerTasks"]

# An ended task stays in reports this long, so that a lost announcement loses no result.
REPORT_ENDED_S = 60.0


@dataclass(slots=True)
class RunningTask:
    """A task on this worker. `lease_end` is a time of this process's clock."""

    task: str
    job: str
    token: int
    run_s: float
    cores: float
    memory_mb: int
    accelerators: int
    lease_end: float
    started: float
    phase: str = "running"
    reason: str = ""
    ended: float = 0.0
    scope: anyio.CancelScope | None = None

    def report(self, now: float) -> dict[str, Any]:
        """Return the report of this task for an announcement."""
        end = self.ended if self.phase != "running" else now
        return {
            "task": self.task,
            "token": self.token,
            "phase": self.phase,
            "usage": {
                "cores": self.cores,
                "memory_mb": self.memory_mb,
                "accelerators": self.accelerators,
            },
            "run_s": end - self.started,
            "reason": self.reason,
        }


class WorkerTasks:
    """Starts, renews and stops tasks, and stops a task whose lease has expired.

    The command of a task sets its behaviour: `run 2.5` finishes after 2.5 s, `fail` fails at once,
    `forever` never ends, and any other command finishes after `default_run_s`.
    """

    default_run_s = 1.0

    def __init__(self, ledger: Ledger, changed: Callable[[], None]) -> None:
        self.ledger = ledger
        self.changed = changed
        self.tasks: dict[str, RunningTask] = {}
        self.fail_everything = False

    def order(self, group: TaskGroup, order: dict[str, Any], received: float) -> None:
        """Execute one order; a lease starts at `received`."""
        task = self.tasks.get(order["task"])
        kind = order["kind"]
        if kind == "start":
            if task is None or task.token < order["token"]:
                self._start(group, order, received)
            return
        if task is None or task.token != order["token"] or task.phase != "running":
            return
        if kind == "renew":
            task.lease_end = max(task.lease_end, received + order["lease_s"])
        elif kind == "checkpoint":
            self._end(task, "checkpointed", "")
        elif kind == "stop":
            self._end(task, "stopped", "")
        elif kind == "throttle":
            task.cores = min(task.cores, max(0.1, task.cores / 2))

    def running(self) -> int:
        """Return the number of running tasks."""
        return sum(task.phase == "running" for task in self.tasks.values())

    def stop_all(self, phase: str) -> None:
        """End every running task with `phase`."""
        for task in list(self.tasks.values()):
            if task.phase == "running":
                self._end(task, phase, "")

    def forget(self) -> None:
        """Cancel and drop every task, as a reboot does."""
        for task in self.tasks.values():
            if task.scope is not None:
                task.scope.cancel()
        self.tasks.clear()

    def reports(self, now: float) -> list[dict[str, Any]]:
        """Return the reports of running tasks and of tasks that ended recently."""
        for name in [
            name
            for name, task in self.tasks.items()
            if task.phase != "running" and now - task.ended > REPORT_ENDED_S
        ]:
            del self.tasks[name]
        return [task.report(now) for task in self.tasks.values()]

    def _start(self, group: TaskGroup, order: dict[str, Any], received: float) -> None:
        size = order["size"]
        verb, _, argument = order["command"].partition(" ")
        task = RunningTask(
            order["task"],
            order["job"],
            order["token"],
            self._run_s(verb, argument),
            size["cores"],
            size["memory_mb"],
            size["accelerators"],
            received + order["lease_s"],
            received,
        )
        previous = self.tasks.get(task.task)
        if previous is not None and previous.scope is not None:
            previous.scope.cancel()
        self.tasks[task.task] = task
        self.ledger.tasks[task.task] += 1
        if self.fail_everything or verb == "fail":
            self._end(task, "failed", "exit status 1")
            return
        group.start_soon(self._run, task)

    def _run_s(self, verb: str, argument: str) -> float:
        if verb == "run":
            return float(argument)
        return float("inf") if verb == "forever" else self.default_run_s

    async def _run(self, task: RunningTask) -> None:
        with anyio.CancelScope() as task.scope:
            end = task.started + task.run_s
            while (now := anyio.current_time()) < min(end, task.lease_end):
                await anyio.sleep(min(end, task.lease_end) - now)
            if task.phase != "running":
                return
            if now >= end:
                self.ledger.finished_tasks[task.task] += 1
                self._end(task, "finished", "")
            else:
                self._end(task, "stopped", "the lease ran out")

    def _end(self, task: RunningTask, phase: str, reason: str) -> None:
        task.phase = phase
        task.reason = reason
        task.ended = anyio.current_time()
        if task.scope is not None:
            task.scope.cancel()
        self.changed()
