"""Guards against jobs that wait for a machine that was chosen to leave by its cores alone.

A job that needed a label never started (review/8): the only executor with it had been chosen as a
surplus machine and got no more tasks, and the few cores that the job needed did not bring it back.
"""

import json
from dataclasses import replace

import testtools
from marigolddoor_core.dispatch import Advice, AdviceRequest, Executor, MoveOrder, StartOrder
from marigolddoor_core.dispatch.requirements import MachineShape, OpenRequirements, Requirement
from marigolddoor_core.ids import ExecutorId, JobId, MachineId, ServiceId, TaskName, WaveId
from marigolddoor_core.jobs import (
    AcceptJob,
    JobPhase,
    OpenWave,
    StoreConfiguration,
    TaskPhase,
    TaskSize,
)

from tests.core.dispatch.fakes import Fleet, finished, heartbeat, running
from tests.core.jobs.fakes import SERVICE, Log, accept

DESK, OTHER = SERVICE, ServiceId("other")
TICK_S = 0.1
MOVE_S = 1.5
RUN_S = 0.5
# Long enough for surplus machines to be chosen.
SETTLED_S = 4.0
# The design page names these bounds: for a machine that stayed in its pool, and for one that has to
# be moved back from the standby service or another one.
TAKEN_BACK_S = 1.0
MOVED_BACK_S = 6.0
PLAIN = TaskSize(4000, 8000)


def configuration(has_standby: bool, advised: bool) -> bytes:
    fields = {
        "version": 1,
        "queues": {"views": DESK, "others": OTHER},
        "services": [DESK, OTHER, "spare"] if has_standby else [DESK, OTHER],
        "standby": ["spare"] if has_standby else [],
        "advised": ["views"] if advised else [],
    }
    return json.dumps(fields).encode()


class Site:
    """Executors that run what they are told, and a platform that moves machines."""

    def __init__(self, has_standby: bool = False, advised: bool = False) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(has_standby, advised)))
        self.fleet = Fleet(log)
        self.seconds = 0.0
        self.began: dict[TaskName, float] = {}
        self.ended: dict[Executor, int] = {}
        self.arrivals: list[tuple[float, Executor, ServiceId]] = []
        self.machines_moved: list[MachineId] = []
        self.approved: set[MachineId] = set()
        self.count = 0
        # The last executor of each machine of the standby service.
        self.off: dict[MachineId, Executor] = {}

    def add(
        self,
        service: ServiceId = DESK,
        size: TaskSize = PLAIN,
        labels: tuple[str, ...] = ("a",),
        machine: str = "",
    ) -> MachineId:
        """Add an executor, by default on a machine of its own."""
        self.count += 1
        report = heartbeat(self.count, service=service, labels=labels, machine=machine)
        report = replace(report, capacity=size, born_ms=100 + self.count)
        executor = self.fleet.dispatch.receive_heartbeat(report, self.fleet.now)
        assert executor is not None
        self.fleet.hold(executor)
        return report.machine

    def run(self, seconds: float, *changes: AcceptJob, until: JobId | None = None) -> float:
        """Let time pass, until a job has ended if one is named; return the seconds that passed."""
        began_s = self.seconds
        self.fleet.step(*changes)
        while self.seconds < began_s + seconds:
            if until is not None and self.phase(until) is not JobPhase.ACTIVE:
                break
            self.seconds = round(self.seconds + TICK_S, 3)
            self.fleet.at(self.seconds)
            self.finish_moves()
            for executor in list(self.fleet.dispatch.executors.values()):
                self.report(executor)
            self.fleet.step()
            self.carry_out_orders()
        return self.seconds - began_s

    def report(self, executor: Executor) -> None:
        ends = []
        for name, placed in list(executor.runs.items()):
            if self.seconds - self.began.get(name, self.seconds) >= RUN_S:
                self.ended[executor] = self.ended.get(executor, 0) + 1
                ends.append(finished(self.ended[executor], name, run=placed.run))
        listed = [
            running(name, placed.run)
            for name, placed in executor.runs.items()
            if name in self.began and name not in {end.task for end in ends}
        ]
        self.fleet.hold(executor, *listed, ends=tuple(ends))
        self.fleet.step()
        executor.seen = self.ended.get(executor, 0)

    def carry_out_orders(self) -> None:
        for order in self.fleet.take_orders():
            if isinstance(order, StartOrder):
                self.began[order.task] = self.seconds
                self.fleet.dispatch.started(order, self.fleet.now)
            elif isinstance(order, MoveOrder):
                self.move(order)
            elif isinstance(order, AdviceRequest):
                tickets = {
                    ExecutorId(executor.heartbeat.executor): "t"
                    for executor in order.executors
                    if executor.heartbeat.machine in self.approved
                }
                self.fleet.dispatch.advised(
                    order, Advice(tickets, 30.0), self.fleet.now, self.fleet.now
                )

    def move(self, order: MoveOrder) -> None:
        dispatch, move = self.fleet.dispatch, order.move
        self.machines_moved.append(move.machine)
        known = dispatch.by_machine.get(move.machine) or self.off[move.machine]
        dispatch.moved(move, self.fleet.now)
        if move.target == "spare":
            self.off[move.machine] = known
        else:
            self.arrivals.append((self.seconds + MOVE_S, known, move.target))

    def finish_moves(self) -> None:
        due = [item for item in self.arrivals if item[0] <= self.seconds]
        self.arrivals = [item for item in self.arrivals if item[0] > self.seconds]
        for _, executor, service in due:
            known = executor.heartbeat
            self.add(service, known.capacity, known.labels, known.machine)

    def phase(self, job: JobId) -> JobPhase:
        return self.fleet.log.table.jobs[job].phase

    def is_leaving(self, machine: MachineId) -> bool:
        return self.fleet.dispatch.rebalancer.is_leaving(machine)


# What the first machine of the service has, and a job that only this machine can run.
NEEDS = [
    ("a label", {"labels": ("a", "b"), "step": {"required_label": "b"}}),
    ("memory", {"size": TaskSize(4000, 64_000), "step": {"memory": 20_000}}),
    ("cores of one machine", {"size": TaskSize(16_000, 8000), "step": {"cpu": 8000}}),
    ("accelerators", {"size": TaskSize(4000, 8000, 2), "step": {"accelerators": 1}}),
    ("a label, a gang", {"labels": ("a", "b"), "step": {"required_label": "b", "is_gang": True}}),
]
APPROVAL = ("an approval", {"is_approved": True, "step": {}})
ALL_MACHINES = ("all machines at once", {"step": {"is_gang": True, "count": 5, "cpu": 4000}})


class NeedsTest(testtools.TestCase):
    size = PLAIN
    labels: tuple[str, ...] = ("a",)
    is_approved = False
    has_standby = False

    def make_site(self) -> tuple[Site, MachineId]:
        site = Site(self.has_standby, self.is_approved)
        special = site.add(size=self.size, labels=self.labels)
        for _ in range(4):
            site.add()
        for _ in range(2):
            site.add(OTHER)
        if self.is_approved:
            site.approved.add(special)
        return site, special


class TakenBackTest(NeedsTest):
    """A machine that was chosen to leave before the job came takes tasks again."""

    scenarios = [*NEEDS, APPROVAL, ALL_MACHINES]

    def test_job(self) -> None:
        site, special = self.make_site()
        site.run(SETTLED_S)
        self.assertTrue(site.is_leaving(special))
        step = {"count": 1, "estimated_s": RUN_S, **self.step}
        took_s = site.run(20.0, accept("j", step), until=JobId("j"))
        self.assertEqual(JobPhase.COMPLETED, site.phase(JobId("j")))
        self.assertTrue(took_s <= TAKEN_BACK_S + RUN_S, f"it took {took_s} s")


class LaterStepTest(NeedsTest):
    """A machine that a later step of an open job needs is not chosen to leave."""

    scenarios = NEEDS

    def test_job(self) -> None:
        site, special = self.make_site()
        first = {"count": 1, "cpu": 100, "is_long_running": False, "estimated_s": RUN_S}
        # The first step starts late, at a known time.
        later = {"count": 1, "estimated_s": RUN_S, "depends_on": [0], **self.step}
        site.fleet.step(accept("j", first, later, first_due_s=1000.0))
        site.run(SETTLED_S)
        self.assertFalse(site.is_leaving(special))


class MovedBackTest(NeedsTest):
    """A machine that has left its service comes back for a job that needs it."""

    has_standby = True
    scenarios = NEEDS

    def test_job(self) -> None:
        site, special = self.make_site()
        site.run(SETTLED_S + 3.0)
        self.assertIn(special, site.off)
        step = {"count": 1, "estimated_s": RUN_S, **self.step}
        took_s = site.run(20.0, accept("j", step), until=JobId("j"))
        self.assertEqual(JobPhase.COMPLETED, site.phase(JobId("j")))
        self.assertTrue(took_s <= MOVED_BACK_S + RUN_S, f"it took {took_s} s")


class OtherServiceTest(NeedsTest):
    """A machine of another service comes if the job's service has none that can run it."""

    scenarios = [
        (f"{name}, {state}", {**fields, "is_busy": is_busy})
        for name, fields in NEEDS
        for state, is_busy in (("idle", False), ("busy", True))
    ]

    def test_job(self) -> None:
        site = Site()
        for _ in range(3):
            site.add()
        special = site.add(OTHER, self.size, self.labels)
        for _ in range(2):
            site.add(OTHER)
        if self.is_busy:
            busy = {"count": 3, "cpu": 1000, "spread_limit": 1, "estimated_s": RUN_S}
            others = replace(accept("k", busy), queue="others", service=OTHER)
            site.run(0.2, others)
        step = {"count": 1, "estimated_s": RUN_S, **self.step}
        took_s = site.run(20.0, accept("j", step), until=JobId("j"))
        self.assertEqual(JobPhase.COMPLETED, site.phase(JobId("j")))
        self.assertEqual([special], site.machines_moved)
        self.assertTrue(took_s <= MOVED_BACK_S + RUN_S, f"it took {took_s} s")


class ContendedTest(NeedsTest):
    """A machine that jobs of its own service need is not taken, nor chosen to leave."""

    scenarios = NEEDS

    def test_machine(self) -> None:
        site = Site()
        for _ in range(3):
            site.add()
        special = site.add(OTHER, self.size, self.labels)
        for _ in range(2):
            site.add(OTHER)
        step = {"count": 1, "estimated_s": RUN_S, **self.step}
        own = accept("k", step, first_due_s=1000.0)
        site.fleet.step(replace(own, queue="others", service=OTHER), accept("j", step))
        site.run(SETTLED_S)
        self.assertEqual([], site.machines_moved)
        self.assertNotIn(special, site.fleet.dispatch.rebalancer.retiring)
        chosen = [item.machine for item in site.fleet.dispatch.rebalancer.retirements]
        self.assertNotIn(special, chosen)


class QuantityTest(testtools.TestCase):
    """As many machines stay as the jobs that wait can use, counted in what they lack."""

    scenarios = [
        (
            "two machines with a label",
            {
                "special": [(PLAIN, ("a", "b"))] * 2,
                "step": {"cpu": 4000, "required_label": "b"},
                "at_once": 2,
            },
        ),
        (
            "memory of all machines",
            {"special": [], "step": {"cpu": 100, "memory": 8000}, "at_once": 5},
        ),
        (
            "accelerators of two machines",
            {
                "special": [(TaskSize(4000, 8000, 1), ("a",))] * 2,
                "step": {"cpu": 100, "accelerators": 1},
                "at_once": 2,
            },
        ),
    ]

    def test_jobs(self) -> None:
        site = Site()
        for size, labels in self.special:
            site.add(size=size, labels=labels)
        for _ in range(5 - len(self.special)):
            site.add()
        site.run(SETTLED_S)
        step = {"count": 1, "estimated_s": 2.0, **self.step}
        jobs = [accept(f"j{number}", step) for number in range(self.at_once)]
        # They don't end meanwhile.
        site.began = {TaskName(f"j{number}.0.0.0"): 1000.0 for number in range(self.at_once)}
        site.fleet.step(*jobs)
        site.run(TAKEN_BACK_S)
        placed = [
            job
            for job in site.fleet.log.table.jobs.values()
            if job.step(0, 0).tasks[0].phase is not TaskPhase.WAITING
        ]
        self.assertEqual(self.at_once, len(placed))


class WaveTest(testtools.TestCase):
    """A wave takes only one machine at a time of those that an open job requires."""

    scenarios = [
        ("a job requires the label", {"step": {"required_label": "b"}, "most": 1}),
        ("no job requires the label", {"step": {}, "most": 2}),
    ]

    def test_wave(self) -> None:
        site = Site()
        special = [site.add(labels=("a", "b")) for _ in range(2)]
        others = [site.add() for _ in range(4)]
        step = {"count": 1, "estimated_s": RUN_S, **self.step}
        site.fleet.step(accept("j", step, first_due_s=1000.0))
        site.fleet.step(OpenWave(WaveId(1), tuple(special + others), 20.0, 4))
        wave = site.fleet.dispatch.maintenance_waves[WaveId(1)]
        self.assertEqual(self.most, sum(wave.is_cordoning(machine) for machine in special))
        self.assertEqual(2, sum(wave.is_cordoning(machine) for machine in special + others))


class SurplusTest(testtools.TestCase):
    """Work that any machine can run does not keep surplus machines."""

    def test_plain_work(self) -> None:
        site = Site()
        for _ in range(5):
            site.add()
        site.run(SETTLED_S)
        leaving = set(site.fleet.dispatch.rebalancer.retiring)
        self.assertEqual(3, len(leaving))
        site.run(2.0, accept("j", {"count": 2, "estimated_s": RUN_S}))
        self.assertEqual(leaving, site.fleet.dispatch.rebalancer.retiring)


class RequirementTest(testtools.TestCase):
    """The places for a requirement on an empty machine of 4 cores, 8 GB and a GPU, label a."""

    scenarios = [
        ("cores", {"need": Requirement(TaskSize(1500), at_once=9), "places": 2}),
        ("memory", {"need": Requirement(TaskSize(100, 3000), at_once=9), "places": 2}),
        ("accelerators", {"need": Requirement(TaskSize(100, 100, 1), at_once=9), "places": 1}),
        ("too many accelerators", {"need": Requirement(TaskSize(100, 100, 2)), "places": 0}),
        ("its label", {"need": Requirement(TaskSize(100), "a"), "places": 1}),
        ("another label", {"need": Requirement(TaskSize(100), "b"), "places": 0}),
        ("spread", {"need": Requirement(TaskSize(100), "", 2, at_once=9), "places": 2}),
        ("no more than at once", {"need": Requirement(TaskSize(100), at_once=3), "places": 3}),
    ]

    def test_places(self) -> None:
        shape = MachineShape(TaskSize(4000, 8000, 1), ("a",))
        self.assertEqual(self.places, self.need.places(shape))


class OpenRequirementsTest(testtools.TestCase):
    """A requirement counts as long as any open job has it, at the service that runs the job."""

    def test_life_of_jobs(self) -> None:
        log = Log()
        log.apply(StoreConfiguration(1, configuration(has_standby=False, advised=False)))
        step = {"count": 1, "required_label": "b"}
        log.apply(accept("j", step), accept("k", step))
        services = {"j": DESK, "k": DESK}
        open_requirements = OpenRequirements(lambda job: services[job.job])
        shapes = [MachineShape(PLAIN, ("a",))]
        for job in log.table.jobs.values():
            open_requirements.accepted(job)
        self.assertEqual(1, len(open_requirements.unmet(DESK, shapes)))
        open_requirements.ended(JobId("j"))
        self.assertEqual(1, len(open_requirements.unmet(DESK, shapes)))
        services["k"] = OTHER
        open_requirements.regroup()
        self.assertEqual([], open_requirements.unmet(DESK, shapes))
        self.assertEqual(1, len(open_requirements.unmet(OTHER, shapes)))
        open_requirements.ended(JobId("k"))
        open_requirements.ended(JobId("k"))
        self.assertEqual([], open_requirements.unmet(OTHER, shapes))
