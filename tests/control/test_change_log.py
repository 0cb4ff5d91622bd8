"""Guards against decisions that are missing from the log."""

import testtools
from loguru import logger
from marigolddoor_control.fleet.change_log import log_changes
from marigolddoor_core.dispatch import MachineState, MachineView
from marigolddoor_core.ids import MachineId, ServiceId
from marigolddoor_core.jobs import OrderMove, StoreConfiguration

from tests.core.dispatch.fakes import Fleet
from tests.core.jobs.fakes import Log, accept

MACHINE = MachineId("s-1")
CONFIGURATION = (
    b'{"version":1,"queues":{"views":"desk"},"services":["desk","spare"],"standby":["spare"]}'
)


class MoveTest(testtools.TestCase):
    """The line on a move contains the cores that both services need; a cancelled move has no line.

    In incident inc-a674 the log showed which machines moved, but not why they were so few.
    """

    scenarios = [
        (
            "ordered",
            {
                "is_cancelled": False,
                "expected": "move of s-1 ordered: spare needs 0 of 0 cores, desk needs 40 of 16",
            },
        ),
        ("cancelled", {"is_cancelled": True, "expected": ""}),
    ]

    def test_line(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, CONFIGURATION))
        fleet = Fleet(log)
        fleet.executor(1, cpu=16000)
        assert log.table.configuration is not None
        fleet.dispatch.rebalancer.apply_machine_list(
            [MachineView(MACHINE, ServiceId("spare"), MachineState.UP, 16000)],
            log.table.configuration,
        )
        fleet.at(1.0)
        fleet.step(accept("j1", {"count": 10, "cpu": 4000, "estimated_s": 1.0}))
        if self.is_cancelled:
            fleet.dispatch.rebalancer.cancel_move(fleet.dispatch.rebalancer.ordered[MACHINE].move)
        lines: list[str] = []
        sink = logger.add(lines.append, format="{message}")
        self.addCleanup(logger.remove, sink)
        logger.enable("marigolddoor_control")
        self.addCleanup(logger.disable, "marigolddoor_control")
        log_changes([OrderMove(MACHINE)], log.table, fleet.dispatch, fleet.dispatch.now)
        self.assertIn(self.expected, "".join(lines))
        self.assertEqual(bool(self.expected), bool(lines))


class ExecutorLogTest(testtools.TestCase):
    """Without these lines the log did not show which executors a leader could use.

    An executor that was given up after it had been silent was never used again, and nothing told
    this from a lack of work.
    """

    def test_lines(self) -> None:
        lines: list[str] = []
        handler = logger.add(lines.append, format="{message}", level="INFO")
        self.addCleanup(logger.remove, handler)
        logger.enable("marigolddoor_control")
        self.addCleanup(logger.disable, "marigolddoor_control")
        fleet = Fleet()
        fleet.executor()
        fleet.dispatch.expire(fleet.at(7.0).now)
        changes = fleet.dispatch.take_changes(fleet.now, 0.0)
        log_changes(changes, fleet.log.table, fleet.dispatch, fleet.now)
        self.assertEqual(
            [
                "fleet: executor i-1/100 of desk on machine m-1: ready\n",
                "fleet: executor i-1/100: no longer used\n",
            ],
            lines,
        )
