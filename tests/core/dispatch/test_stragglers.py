"""Guards against runs that stay on a very slow executor, and against false detection."""

import testtools
from marigolddoor_core.dispatch import StopOrder
from marigolddoor_core.jobs import StepRecord

from tests.core.dispatch.fakes import Fleet, running
from tests.core.jobs.fakes import accept

STEP = {"count": 2, "estimated_s": 1.0}


class AboveQuota:
    """Has admitted tasks, and finds their team above a quota that was lowered since."""

    def admits(self, step: StepRecord, count: int) -> bool:
        return count > 0


class SlowExecutorTest(testtools.TestCase):
    """Runs leave an executor on which tasks of several jobs make no progress."""

    scenarios = [
        ("as expected", {"percents": [80, 80], "at_s": 0.9, "others": 1, "leaves": False}),
        ("half as fast", {"percents": [45, 45], "at_s": 0.9, "others": 1, "leaves": False}),
        (
            "one job makes no progress",
            {"percents": [80, 0], "at_s": 0.9, "others": 1, "leaves": False},
        ),
        (
            "no job makes progress",
            {"percents": [0, 0], "at_s": 0.9, "others": 1, "leaves": True, "is_slow": True},
        ),
        ("too early to judge", {"percents": [0, 0], "at_s": 0.4, "others": 1, "leaves": False}),
        (
            "no other executor",
            {"percents": [0, 0], "at_s": 0.9, "others": 0, "leaves": False, "is_slow": True},
        ),
        (
            "a team above its quota",
            {
                "percents": [0, 0],
                "at_s": 0.9,
                "others": 1,
                "leaves": False,
                "is_slow": True,
                "quotas": AboveQuota(),
            },
        ),
    ]

    is_slow = False
    quotas = None

    def test_slow(self) -> None:
        fleet = Fleet(quotas=self.quotas)
        executor = fleet.executor(1)
        jobs = ("a", "b")
        fleet.step(*(accept(job, STEP) for job in jobs))
        for other in range(2, 2 + self.others):
            fleet.executor(other)
        fleet.take_orders()
        names = [f"{job}.0.0.{index}" for job in jobs for index in range(2)]
        fleet.hold(executor, *(running(name, percent=0) for name in names))
        percents = [percent for percent in self.percents for _ in range(2)]
        report = [
            running(name, percent=percent) for name, percent in zip(names, percents, strict=True)
        ]
        fleet.at(self.at_s).hold(executor, *report)
        for other in list(fleet.dispatch.executors.values())[1:]:
            fleet.hold(other)
        fleet.step()
        stops = [order for order in fleet.take_orders() if isinstance(order, StopOrder)]
        self.assertEqual(4 if self.leaves else 0, len(stops))
        self.assertEqual(not self.is_slow, executor.accepts_work(fleet.now))
