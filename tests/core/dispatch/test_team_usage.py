"""Guards against runs that leave the count of their team before they have certainly ended."""

import random
from collections import Counter

import testtools
from marigolddoor_core.dispatch import StartOrder, StopOrder
from marigolddoor_core.ids import ExecutorId, JobId, ServiceId, TeamId
from marigolddoor_core.jobs import CancelJob, PlaceRun, StoreConfiguration
from testtools.matchers import GreaterThan, Not

from tests.core.dispatch.fakes import Fleet, finished, heartbeat, running
from tests.core.jobs.fakes import SERVICE, Log, accept, configuration, with_teams

QUOTAS = {"red": 6000, "blue": 3000}
KINDS = (
    {"count": 3},
    {"count": 2, "is_gang": True},
    {"count": 2, "is_long_running": True},
    {"count": 2, "is_speculative": True},
    {"count": 1, "is_best_effort": True},
)
ROUNDS, ROUND_S = 160, 0.25
NUMBERS = (1, 2, 3)


def counted(fleet: Fleet) -> Counter[tuple[ServiceId, TeamId]]:
    """Return the thousandths of a core of each team in a service, counted from the single runs."""
    view, sizes = fleet.dispatch, {}
    for executor in view.executors.values():
        has_lease = fleet.now < executor.lease.over_at
        awaited = view.awaited_starts(executor, fleet.now)
        for name, placed in executor.runs.items():
            if has_lease or placed.is_given_up or (name, placed.run) in awaited:
                sizes[name, placed.run] = executor.heartbeat.service, placed.task.step
    for starts in view.awaited.starts.values():
        for start in starts:
            key = start.placed.task.name, start.placed.run
            sizes[key] = start.executor.heartbeat.service, start.placed.task.step
    for tasks in view.unreported.values():
        sizes.update({(task.name, task.run): (SERVICE, task.step) for task in tasks.values()})
    for ends in view.uncertain_ends.ends.values():
        sizes.update({key: (SERVICE, fleet.log.table.task(key[0]).step) for key in ends})
    totals: Counter[tuple[ServiceId, TeamId]] = Counter()
    for service, step in sizes.values():
        totals[service, step.job.team] += step.spec.size.cpu_milli
    return totals


class RandomEventsTest(testtools.TestCase):
    """Every run that goes on is counted, and the counts equal a recount, whatever fails."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(40)]

    def test_random_events(self) -> None:
        self.random, self.log = random.Random(self.seed), Log()
        teams = {team: {"cpu": cpu} for team, cpu in QUOTAS.items()}
        views = configuration(1, views=SERVICE)
        self.log.apply(StoreConfiguration(1, with_teams(views, teams)))
        self.fleet, self.jobs = Fleet(self.log), []
        self.born, self.silent_until = dict.fromkeys(NUMBERS, 100), dict.fromkeys(NUMBERS, 0)
        # The runs that go on, and the starts that are carried out late, with their executors.
        self.alive, self.late, self.ends = {}, {}, Counter()
        self.stops = []
        for number in range(ROUNDS):
            self.round(number, is_faulty=number < ROUNDS * 3 // 4)
            self.check()
        for number in range(ROUNDS, ROUNDS + 100):
            self.log.apply(*(CancelJob(JobId(job)) for job in self.jobs))
            self.round(number, is_faulty=False)
        self.assertEqual({}, self.alive)
        self.assertEqual({}, self.fleet.dispatch.usage.runs)
        self.assertEqual({}, self.fleet.dispatch.usage.services)

    def check(self) -> None:
        usage, totals = self.fleet.dispatch.usage, counted(self.fleet)
        teamless = {key for key in self.alive if not self.log.table.task(key[0]).step.job.team}
        self.assertEqual(set(), self.alive.keys() - teamless - usage.runs.keys())
        for team in map(TeamId, QUOTAS):
            self.assertEqual(totals[SERVICE, team], usage.of(team).cpu_milli)
            self.assertEqual(usage.of(team), usage.of_service(SERVICE, team))

    def chance(self, share: float) -> bool:
        return self.random.random() < share

    def round(self, number: int, is_faulty: bool) -> None:
        time_s = number * ROUND_S
        if is_faulty and self.chance(0.03):
            self.fleet, self.stops = Fleet(self.log, seconds=time_s), []
        self.fleet.at(time_s)
        before = []
        if self.chance(0.5) and number < ROUNDS:
            self.jobs.append(f"j{number}")
            team = self.random.choice(["", *QUOTAS])
            before.append(accept(self.jobs[-1], self.random.choice(KINDS), team=team))
        if self.jobs and self.chance(0.1):
            before.append(CancelJob(JobId(self.random.choice(self.jobs))))
        for executor in NUMBERS:
            if is_faulty and self.chance(0.03):
                self.silent_until[executor] = time_s + self.random.choice([1.0, 5.0, 9.0])
            if is_faulty and self.chance(0.02):
                self.born[executor] += 1
                self.alive = {key: at for key, at in self.alive.items() if at != executor}
            self.exchange(executor, time_s)
        self.fleet.dispatch.expire(self.fleet.now)
        decided = self.fleet.dispatch.take_changes(self.fleet.now, self.log.table.time_s)
        for change in decided:
            if isinstance(change, PlaceRun) and (
                team := self.log.table.task(change.task).step.job.team
            ):
                self.assertThat(
                    self.fleet.dispatch.usage.of(team).cpu_milli, Not(GreaterThan(QUOTAS[team]))
                )
        self.log.apply(*before, *decided)
        orders, self.stops = self.stops + self.fleet.take_orders(), []
        for order in orders:
            if isinstance(order, StartOrder):
                self.start(order, time_s)
            elif isinstance(order, StopOrder):
                self.stop(order, time_s)

    def exchange(self, number: int, time_s: float) -> None:
        """Deliver late starts, a heartbeat and a report, or let a lease run out."""
        dispatch = self.fleet.dispatch
        for key, (at, due_s, _) in list(self.late.items()):
            if at == number and due_s <= time_s:
                del self.late[key]
                self.alive[key] = number
        if self.silent_until[number] > time_s:
            executor = dispatch.current.get(ExecutorId(f"i-{number}"))
            if executor is not None:
                dispatch.unanswered(executor, self.fleet.now)
            if executor is None or self.fleet.now >= executor.lease.over_at:
                self.alive = {key: at for key, at in self.alive.items() if at != number}
            return
        beat = heartbeat(number, self.born[number], int(time_s * 100) + 2)
        dispatch.receive_heartbeat(beat, self.fleet.now)
        executor = dispatch.executors[beat.incarnation]
        ends = []
        for key in [key for key, at in self.alive.items() if at == number and self.chance(0.1)]:
            if self.alive.pop(key, None) is None:
                continue
            self.ends[beat.incarnation] += 1
            how = self.random.choice(["done", "done", "failed", "stopped"])
            step = self.log.table.task(key[0]).step
            if how == "done" and step.spec.is_gang:
                # The members of a gang end together, and only if all of them run.
                members = {(task.name, key[1]) for task in step.tasks}
                how = "done" if members - {key} <= self.alive.keys() else "alone"
                self.alive = {run: at for run, at in self.alive.items() if run not in members}
            ends.append(finished(self.ends[beat.incarnation], key[0], how, key[1]))
        executor.seen = self.ends[beat.incarnation] - len(ends)
        rows = [running(*key) for key, at in self.alive.items() if at == number]
        self.fleet.hold(executor, *rows, ends=tuple(ends))
        executor.extend_lease(self.fleet.now)
        # An executor that a leader has called carries out no order of an earlier one.
        self.late = {
            key: start
            for key, start in self.late.items()
            if start[0] != number or start[2] is dispatch
        }

    def start(self, order: StartOrder, time_s: float) -> None:
        """Have a start carried out now or up to 12 s later, with or without an answer."""
        number, dispatch = int(order.executor.heartbeat.executor[2:]), self.fleet.dispatch
        dispatch.start_sent(order, self.fleet.now)
        key = order.task, order.run
        if self.silent_until[number] > time_s or self.chance(0.1):
            self.late[key] = number, time_s + self.random.uniform(0.5, 12.0), dispatch
            return
        self.alive[key] = number
        if self.chance(0.9):
            dispatch.start_answered(order)
            dispatch.started(order, self.fleet.now)

    def stop(self, order: StopOrder, time_s: float) -> None:
        """Have a stop carried out, which also prevents a late start; repeat it until answered."""
        number = int(order.executor.heartbeat.executor[2:])
        if self.silent_until[number] <= time_s:
            key = order.task, order.run
            self.late.pop(key, None)
            if self.alive.get(key) == number:
                del self.alive[key]
            dispatch = self.fleet.dispatch
            dispatch.stop_confirmed(order.executor, *key, self.fleet.now)
        elif not order.executor.has_ended:
            self.stops.append(order)
