"""Guards against members of a gang that run again, or alone, after the gang has ended.

review/11: one of two executors restarted behind a cut, so its member counted as lost. Then the
other one listed its end `done`, and the lost member was started again, alone, for good.
"""

import testtools
from marigolddoor_core.dispatch import Executor, StartOrder, StopOrder
from marigolddoor_core.jobs import JobPhase

from tests.core.dispatch.fakes import Fleet, finished, heartbeat, running
from tests.core.jobs.fakes import accept

MEMBERS = ("j.0.0.0", "j.0.0.1")


def place_gang(fleet: Fleet, **step: object) -> list[Executor]:
    """Place a gang of two, one member on each of two executors; return these."""
    executors = [fleet.executor(1), fleet.executor(2)]
    fleet.step(accept("j", {"count": 2, "cpu": 3000, "is_gang": True, **step}))
    starts = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
    placed = {order.task: order.executor for order in starts}
    for member in MEMBERS:
        fleet.at(1.0).hold(placed[member], running(member))
    fleet.take_orders()
    assert sorted(placed) == list(MEMBERS) and len(executors) == 2
    return [placed[member] for member in MEMBERS]


class LostMemberTest(testtools.TestCase):
    """The first member counts as lost before the end of the second is known."""

    scenarios = [
        ("its executor restarted", {"is_restarted": True}),
        ("no report lists it", {"is_restarted": False}),
    ]

    def test_no_member_runs_again(self) -> None:
        fleet = Fleet()
        first, second = place_gang(fleet)
        if self.is_restarted:
            number = int(first.heartbeat.executor[2:])
            fleet.at(3.0).dispatch.receive_heartbeat(heartbeat(number, 200), fleet.now)
            fleet.hold(fleet.dispatch.current[first.heartbeat.executor])
        else:
            fleet.at(3.0).hold(first, sent_s_ago=0.1)
        fleet.step()
        fleet.at(4.0).hold(second, ends=(finished(1, MEMBERS[1]),))
        fleet.step()
        self.assertEqual(
            [], [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
        )
        self.assertIs(JobPhase.COMPLETED, fleet.log.table.jobs["j"].phase)


class LateSuccessTest(testtools.TestCase):
    """Both executors are silent until their leases expire; one comes back with its end."""

    scenarios = [(f"member {index}", {"index": index}) for index in range(2)]

    def test_second_run_is_stopped(self) -> None:
        fleet = Fleet()
        holders = place_gang(fleet)
        for holder in holders:
            holder.extend_lease(fleet.now)
        others = [fleet.at(8.0).executor(number) for number in (3, 4)]
        fleet.dispatch.expire(fleet.now)
        fleet.step()
        starts = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
        self.assertEqual([2, 2], [order.run for order in starts])
        for order in starts:
            fleet.at(8.5).hold(order.executor, running(order.task, 2))
        back = holders[self.index].heartbeat
        number = int(back.executor[2:])
        fleet.at(9.0).dispatch.receive_heartbeat(heartbeat(number, back.born_ms, 9), fleet.now)
        fleet.hold(fleet.dispatch.current[back.executor], ends=(finished(1, MEMBERS[self.index]),))
        fleet.step()
        stops = [order for order in fleet.take_orders() if isinstance(order, StopOrder)]
        self.assertEqual({(member, 2) for member in MEMBERS}, {(s.task, s.run) for s in stops})
        self.assertIs(JobPhase.COMPLETED, fleet.log.table.jobs["j"].phase)
        for order in starts:
            ends = (finished(1, order.task, "stopped", run=2),)
            fleet.at(9.5).hold(order.executor, ends=ends)
        fleet.step()
        self.assertEqual([4000, 4000], [other.free_cpu for other in others])


class LastingGangTest(testtools.TestCase):
    """The members of a gang that lasts end one after the other; both are started again together.

    review/13: the end `done` of one member finished the other one, which was never started again.
    """

    scenarios = [
        ("both done", {"first": "done", "second": "done"}),
        ("one failed, the other broken", {"first": "failed", "second": "broken"}),
        ("one done, the other not listed any more", {"first": "done", "second": None}),
    ]

    def test_both_start_again(self) -> None:
        fleet = Fleet()
        holders = place_gang(fleet, is_long_running=True)
        fleet.at(8.0).hold(holders[0], ends=(finished(1, MEMBERS[0], self.first),))
        fleet.step()
        self.assertEqual([], fleet.take_orders())
        ends = () if self.second is None else (finished(1, MEMBERS[1], self.second),)
        fleet.at(8.5).hold(holders[1], ends=ends, sent_s_ago=0.1)
        fleet.step()
        starts = [order for order in fleet.take_orders() if isinstance(order, StartOrder)]
        self.assertEqual({(name, 2) for name in MEMBERS}, {(s.task, s.run) for s in starts})
        self.assertIs(JobPhase.ACTIVE, fleet.log.table.jobs["j"].phase)
