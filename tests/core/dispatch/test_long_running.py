"""Guards against long-running tasks that do not run although an executor has capacity for them."""

import testtools
from marigolddoor_core.dispatch import StartOrder

from tests.core.dispatch.fakes import Fleet, running
from tests.core.jobs.fakes import accept

LONG_RUNNING = {"count": 1, "is_long_running": True, "cpu": 500}
BATCH = {"count": 2, "estimated_s": 1.0, "cpu": 500}
# A long-running task has to run again within this time when an executor has capacity for it. The
# rest of the 6 s that the platform allows is left for the start itself.
BOUND_S = 4.0


def started(fleet: Fleet) -> dict[str, str]:
    """Return the executor of each task whose start was ordered since the last call."""
    return {
        order.task: order.executor.heartbeat.executor
        for order in fleet.take_orders()
        if isinstance(order, StartOrder)
    }


class BlockedExecutorTest(testtools.TestCase):
    """A long-running task must not wait for the end of a long block of the last free executor.

    The time of a block doubles with each failed call and is reset by a successful batch task only,
    so an executor that had been unhealthy was left idle for 8 s after it had recovered.
    """

    scenarios = [
        ("a long-running task", {"step": LONG_RUNNING, "at_s": BOUND_S, "runs": True}),
        ("it was blocked just now", {"step": LONG_RUNNING, "at_s": 0.5, "runs": False}),
        ("a batch task", {"step": BATCH, "at_s": BOUND_S, "runs": False}),
    ]

    def test_repeated_failures(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        for _ in range(6):
            fleet.dispatch.block(executor, fleet.now)
        fleet.at(self.at_s).hold(executor)
        fleet.step(accept("j", self.step))
        self.assertEqual(self.runs, "j.0.0.0" in started(fleet))

    def test_other_executor_is_preferred(self) -> None:
        fleet = Fleet()
        blocked, other = fleet.executor(1, cpu=8000), fleet.executor(2)
        for _ in range(6):
            fleet.dispatch.block(blocked, fleet.now)
        for executor in (blocked, other):
            fleet.at(self.at_s).hold(executor)
        fleet.step(accept("j", self.step))
        self.assertEqual("i-2", started(fleet)["j.0.0.0"])


class SlowExecutorTest(testtools.TestCase):
    """A long-running task must not wait for batch tasks that take longer than estimated.

    Executors on which such tasks run count as slow, and got no task for as long as they ran.
    """

    scenarios = [
        ("a long-running task", {"step": LONG_RUNNING, "runs": True}),
        ("a batch task", {"step": BATCH, "runs": False}),
    ]

    def test_slow_batch_tasks(self) -> None:
        fleet = Fleet()
        executor = fleet.executor()
        fleet.step(accept("a", BATCH), accept("b", BATCH))
        names = [f"{job}.0.0.{index}" for job in "ab" for index in range(2)]
        for tenths in range(0, 60, 5):
            fleet.at(tenths / 10).hold(executor, *(running(name, percent=1) for name in names))
        self.assertFalse(executor.accepts_work(fleet.now))
        fleet.take_orders()
        fleet.step(accept("j", self.step))
        self.assertEqual(self.runs, "j.0.0.0" in started(fleet))
