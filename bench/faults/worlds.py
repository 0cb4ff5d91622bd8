"""Fault runs of all decisions on a small organisation, checked after each step."""

import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from marigolddoor_core.actions import Decision
from marigolddoor_core.capacity import Capacity
from marigolddoor_core.declaration import Team
from marigolddoor_core.ids import (
    DataCentreId,
    OperatorId,
    PoolId,
    RequestId,
    ServiceId,
    TaskId,
    VmId,
)
from marigolddoor_core.maintenance import BudgetLedger, Maintenance, Rollout
from marigolddoor_core.maintenance.budget import PoolLoss
from marigolddoor_core.maintenance.waves import Candidate, WavePolicy
from marigolddoor_core.placement import Placement
from marigolddoor_core.questions.detection import Detection
from marigolddoor_core.state.commands import (
    CancelTask,
    RequestDrain,
)
from marigolddoor_core.state.objects import TaskState
from marigolddoor_core.targets import Resources
from marigolddoor_standins.virtual import JobBehaviour, VirtualFleet, VirtualState
from marigolddoor_standins.virtual.checks import FleetChecker, is_changing
from marigolddoor_standins.virtual.demand import FluidQueue, RotatingDemand
from marigolddoor_standins.virtual.samples import (
    SIZE,
    TEAM,
    add_workers,
    job,
    organisation,
    pool,
    submit,
)

STEP_S = 2.0
COMPLETION_TIMEOUT_S = 500.0
# A VM moves after 3 minutes of observed demand and one more minute of shortage.
MOVE_TIMEOUT_S = 260.0
COMPLETING_JOBS = ("batch", "urgent", "office")
LARGE_SIZE = Resources(5.0, 8_000)
NORMAL_BEHAVIOUR = JobBehaviour(20.0, SIZE)

DecisionFactory = Callable[[], Sequence[Decision]]


class UnlimitedWave:
    """A wave policy that ignores the budget of the pool."""

    def choose(self, pool: PoolLoss, candidates: Iterable[Candidate]) -> list[VmId]:
        """Return every candidate."""
        return [candidate.vm for candidate in candidates]


def production_decisions(wave: WavePolicy | None = None) -> Sequence[Decision]:
    """Return the decisions as the control process runs them, or with another wave policy."""
    ledger = BudgetLedger()
    return [
        Placement(),
        Maintenance(ledger, wave),
        Rollout(ledger),
        Capacity(ledger),
        Detection(ledger),
    ]


@dataclass
class World:
    """A virtual fleet under faults. `problems` holds the findings of the checks."""

    leader: DecisionFactory = production_decisions
    problems: list[str] = field(default_factory=list)
    submitted: set[TaskId] = field(default_factory=set)
    has_rotating_demand: bool = False

    def __post_init__(self) -> None:
        declared = organisation(
            [
                pool("web", 6, 2, 1),
                pool("floor", 4, 2, 2),
                pool("spare", 6, 3, 2, spare=True),
            ],
            [
                job("batch"),
                job("urgent", urgent=True),
                job("office", "spare", size=LARGE_SIZE),
                job("wrong", size=Resources(0.5, 1_000), run_s=2.0),
                job("endless", run_s=2.0),
            ],
            [Team(TEAM, 1_000, 1_000.0)],
        )
        self.fleet = VirtualFleet(VirtualState(declared), self.leader, STEP_S, STEP_S)
        for name, count in (("web", 6), ("floor", 4), ("spare", 6)):
            add_workers(self.fleet, name, count)
        self.checks = FleetChecker(self.fleet)
        names = ("web", "floor", "spare")
        self.queues = {ServiceId(name): FluidQueue() for name in names}
        # The mean demand of the first queue exceeds its pool, so that VMs have to move.
        means = dict(zip(self.queues, (50.0, 10.0, 10.0), strict=True))
        self.demand = RotatingDemand(means, 7, (4.0, 12.0))
        self.submit("batch", 12, JobBehaviour(100.0, SIZE))
        # Three fit on a worker, so that every worker of the spare pool runs one.
        self.submit("office", 16, JobBehaviour(300.0, LARGE_SIZE))

    def submit(
        self, name: str, count: int, behaviour: JobBehaviour = NORMAL_BEHAVIOUR
    ) -> list[TaskId]:
        """Submit tasks of a job."""
        first = sum(task.startswith(f"{name}/") for task in self.submitted)
        tasks = submit(self.fleet, name, count, behaviour, first)
        self.submitted.update(tasks)
        return tasks

    def request_wave(self, pool_name: str) -> None:
        """Request a maintenance wave over a pool."""
        request = RequestDrain(PoolId(pool_name), None, OperatorId("ada"), RequestId("wave"))
        self.fleet.state.apply(request, self.fleet.now_s)

    def run(self, duration_s: float) -> None:
        """Advance the fleet, with the checks after each step."""
        for _ in range(round(duration_s / STEP_S)):
            if self.has_rotating_demand:
                self._update_demand()
            self.fleet.step()
            self.checks.check_step(self.submitted)

    def run_until_idle(self) -> None:
        """Advance the fleet until VMs had time to move and no task or VM change is in progress."""
        deadline_s = self.fleet.now_s + COMPLETION_TIMEOUT_S
        self.run(MOVE_TIMEOUT_S)
        while self.fleet.now_s < deadline_s and self._is_busy():
            self.run(STEP_S)

    def _is_busy(self) -> bool:
        ended = (TaskState.FINISHED, TaskState.CANCELLED)
        vms = self.fleet.state.vms.values()
        return any(
            task.job in COMPLETING_JOBS and task.state not in ended
            for task in self.fleet.state.tasks.values()
        ) or any(is_changing(vm) for vm in vms)

    def _update_demand(self) -> None:
        for service, offered in self.demand.at(self.fleet.now_s).items():
            slots = sum(8.0 for vm in self.fleet.state.vms.values() if vm.pool == PoolId(service))
            queue = self.queues[service]
            self.fleet.demand[service] = queue.step(self.fleet.now_s, offered, slots)

    def check_end(self) -> None:
        """Check that tasks of completing jobs finished, and that each finish had a run."""
        for task, record in self.fleet.state.tasks.items():
            has_to_complete = record.job in COMPLETING_JOBS
            if has_to_complete and record.state not in (TaskState.FINISHED, TaskState.CANCELLED):
                self.problems.append(f"{task} is {record.state.value} at the end")
        self.checks.check_finishes()
        self.problems.extend(str(problem) for problem in self.checks.problems)


Fault = Callable[[World, random.Random], None]


def flood_batch(world: World, rng: random.Random) -> None:
    """Submit far more tasks of the lowest urgency than the pool can run."""
    world.submit("batch", 150, JobBehaviour(6.0, SIZE))


def flood_urgent(world: World, rng: random.Random) -> None:
    """Submit far more urgent tasks than the pool can run."""
    world.submit("urgent", 100, JobBehaviour(6.0, SIZE))


def rotating_demand(world: World, rng: random.Random) -> None:
    """Rotate the demand over the services from now on."""
    world.has_rotating_demand = True


def rack_lost(world: World, rng: random.Random) -> None:
    """Lose a rack while a wave runs."""
    world.request_wave("web")
    world.run(rng.randrange(4, 20))
    for worker in world.fleet.workers.values():
        if worker.rack == "web-rack-0":
            worker.go_down(world.fleet.now_s, 90.0)


def isolate_data_centre(world: World, rng: random.Random) -> None:
    """Isolate a data centre for 10 minutes."""
    data_centre = DataCentreId("dc-0")
    world.fleet.unreachable_data_centres.add(data_centre)
    ends_s = world.fleet.now_s + 600.0
    world.fleet.at(ends_s, lambda: world.fleet.unreachable_data_centres.discard(data_centre))


def leader_lost(world: World, rng: random.Random) -> None:
    """Isolate the leader during a wave; another one takes over after an election."""
    world.request_wave("floor")
    world.run(rng.randrange(2, 12))
    world.fleet.is_leaderless = True

    def elect() -> None:
        world.fleet.is_leaderless = False
        world.fleet.change_leader()

    world.fleet.at(world.fleet.now_s + 4.0, elect)


def faulty_worker(world: World, rng: random.Random) -> None:
    """Let one worker fail every run for 5 minutes."""
    worker = world.fleet.workers[VmId(f"web-{rng.randrange(6)}")]
    worker.fails_all = True
    world.submit("urgent", 6)

    def recover() -> None:
        worker.fails_all = False

    world.fleet.at(world.fleet.now_s + 300.0, recover)


def runaway_job(world: World, rng: random.Random) -> None:
    """Submit tasks that never end."""
    world.submit("endless", 2, JobBehaviour(1e9, SIZE))


def cancellations(world: World, rng: random.Random) -> None:
    """Cancel a third of all tasks at once."""
    for task in sorted(world.submitted):
        if rng.random() < 0.33:
            world.fleet.state.apply(CancelTask(task), world.fleet.now_s)


def wrong_sizes(world: World, rng: random.Random) -> None:
    """Submit tasks that use ten times the resources and time that they declare."""
    world.submit("wrong", 20, JobBehaviour(20.0, Resources(5.0, 10_000)))


def late_reports(world: World, rng: random.Random) -> None:
    """Delay every report by 30 s for 3 minutes."""
    world.fleet.report_delay_s = 30.0

    def recover() -> None:
        world.fleet.report_delay_s = 0.0

    world.fleet.at(world.fleet.now_s + 180.0, recover)


def second_loss(world: World, rng: random.Random) -> None:
    """Lose a VM, and another one right after the first has returned."""
    world.request_wave("floor")
    workers = world.fleet.workers
    first, second = workers[VmId("floor-0")], workers[VmId("floor-3")]
    first.go_down(world.fleet.now_s, 40.0)
    world.fleet.at(world.fleet.now_s + 44.0, lambda: second.go_down(world.fleet.now_s, 40.0))


def restart(world: World, rng: random.Random) -> None:
    """Change the leader after hundreds of changes."""
    for task in world.submit("batch", 300):
        world.fleet.state.apply(CancelTask(task), world.fleet.now_s)
    world.fleet.change_leader()


def slow_commits(world: World, rng: random.Random) -> None:
    """Delay every commit by two rounds from now on."""
    world.request_wave("floor")
    world.fleet.commit_s = 2 * STEP_S


def lost_proposals(world: World, rng: random.Random) -> None:
    """Lose every third proposal for 2 minutes."""
    world.fleet.lose_proposal = lambda command: rng.random() < 0.33

    def recover() -> None:
        world.fleet.lose_proposal = lambda command: False

    world.fleet.at(world.fleet.now_s + 120.0, recover)


FAULTS: dict[str, Fault] = {
    "flood of the least urgent": flood_batch,
    "flood of the most urgent": flood_urgent,
    "rotating demand": rotating_demand,
    "rack lost during a wave": rack_lost,
    "data centre cut off": isolate_data_centre,
    "leader lost": leader_lost,
    "worker fails everything": faulty_worker,
    "endless job": runaway_job,
    "cancellations": cancellations,
    "sizes wrong by ten": wrong_sizes,
    "late reports": late_reports,
    "second loss after a repair": second_loss,
    "restart after changes": restart,
    "slow commits": slow_commits,
    "lost proposals": lost_proposals,
}


def run_world(
    names: Sequence[str], seed: int, leader: DecisionFactory = production_decisions
) -> World:
    """Run the faults one after the other at random times; return the world at its end."""
    rng = random.Random(f"{seed}:{names}")
    world = World(leader)
    world.run(20)
    world.request_wave("floor")
    for name in names:
        world.run(rng.randrange(0, 30))
        FAULTS[name](world, rng)
    if "data centre cut off" in names:
        world.run(600)
    world.run_until_idle()
    world.check_end()
    return world


def run_faults(
    names: Sequence[str], seed: int, leader: DecisionFactory = production_decisions
) -> list[str]:
    """Run the faults and return the findings of the checks."""
    return run_world(names, seed, leader).problems


__all__ = ["FAULTS", "UnlimitedWave", "World", "production_decisions", "run_faults", "run_world"]
