"""Guards against a heartbeat of another writer that displaces an executor which runs tasks."""

import testtools
from marigolddoor_core.dispatch import ExecutorState
from marigolddoor_core.ids import ServiceId
from marigolddoor_core.jobs import EndRun, StoreConfiguration

from tests.core.dispatch.fakes import Fleet, heartbeat, running
from tests.core.jobs.fakes import Log, accept, configuration

UNKNOWN = ServiceId("unknown")
ODD = [
    ("unknown service at its address", heartbeat(2, 200, service=UNKNOWN, address="10.0.0.1:80")),
    ("unknown service on its machine", heartbeat(2, 200, service=UNKNOWN, machine="m-1")),
    ("unknown service under its id", heartbeat(1, 200, service=UNKNOWN)),
    ("its incarnation at another address", heartbeat(1, 100, 10**15, address="10.0.0.7:80")),
    ("its incarnation on another machine", heartbeat(1, 100, 10**15, machine="m-7")),
    ("its incarnation of another service", heartbeat(1, 100, 10**15, service=UNKNOWN)),
]


class OddHeartbeatTest(testtools.TestCase):
    """The executor keeps its run, and its own later heartbeats are followed."""

    scenarios = [(name, {"odd": odd}) for name, odd in ODD]

    def test_executor_holds(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(1, views="desk")), accept("j", {"count": 1}))
        fleet = Fleet(log)
        executor = fleet.executor(1)
        fleet.step()
        fleet.hold(executor, running("j.0.0.0"))
        fleet.dispatch.receive_heartbeat(self.odd, fleet.at(0.5).now)
        changes = fleet.step()
        self.assertEqual([], [change for change in changes if isinstance(change, EndRun)])
        self.assertIs(executor, fleet.dispatch.executors.get(executor.incarnation))
        self.assertEqual("10.0.0.1:80", executor.heartbeat.address)
        draining = heartbeat(1, sequence=2, state=ExecutorState.DRAINING)
        fleet.dispatch.receive_heartbeat(draining, fleet.at(1.0).now)
        self.assertIs(ExecutorState.DRAINING, executor.heartbeat.state)
