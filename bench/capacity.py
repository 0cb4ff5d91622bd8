"""Measures the slopes of docs/CAPACITY.md: how the cost of each role grows with the size.

Run with `python -m bench.capacity`. Each row gives the slope of a least-squares line, its
intercept and the largest deviation of a point from the line, relative to the largest value.
"""

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from marigolddoor_core.actions import Decision
from marigolddoor_core.capacity import Capacity
from marigolddoor_core.declaration import Declaration, Pool, Service, Team
from marigolddoor_core.fleet import Fleet, ObservedTarget
from marigolddoor_core.ids import (
    DataCentreId,
    Epoch,
    IdempotencyKey,
    LogIndex,
    OperatorId,
    OrganisationId,
    PoolId,
    ProcessId,
    RackId,
    RequestId,
    Revision,
    ServiceId,
    TeamId,
    VmId,
)
from marigolddoor_core.instants import Instant
from marigolddoor_core.maintenance import BudgetLedger, Maintenance, Rollout
from marigolddoor_core.membership import Members
from marigolddoor_core.placement import Placement
from marigolddoor_core.questions.detection import Detection
from marigolddoor_core.registration import Registrar
from marigolddoor_core.reports import FleetReports
from marigolddoor_core.state.commands import ApplyDeclaration, Claim, RegisterVm
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.targets import Announcement, Resources, TargetState
from marigolddoor_wire.codec import decode, encode
from marigolddoor_wire.messages import ReportTargets, TargetReport, WatchReply

SIZE = Resources(16.0, 32_000, 2)
US_PER_S = 1e6
REPEAT_COUNT = 3


@dataclass(frozen=True, slots=True)
class Slope:
    """A cost as a function of the number of `per`, measured at several points."""

    name: str
    unit: str
    per: str
    points: tuple[tuple[int, float], ...]

    def line(self) -> tuple[float, float]:
        """Return slope and intercept of the least-squares line."""
        count = len(self.points)
        mean_x = sum(x for x, _ in self.points) / count
        mean_y = sum(y for _, y in self.points) / count
        spread = sum((x - mean_x) ** 2 for x, _ in self.points)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in self.points) / spread
        return slope, mean_y - slope * mean_x

    def error(self) -> float:
        """Return the largest deviation from the line, relative to the largest value."""
        slope, intercept = self.line()
        largest = max(abs(y) for _, y in self.points) or 1.0
        return max(abs(y - slope * x - intercept) for x, y in self.points) / largest


def announcement(number: int) -> Announcement:
    """Return the announcement of VM `number`."""
    return Announcement(
        VmId(f"vm-{number}"),
        DataCentreId("dc-0"),
        RackId(f"rack-{number // 4}"),
        f"10.0.{number // 250}.{number % 250}:9000",
        8,
        3,
        SIZE,
        Epoch(1),
        incarnation="1",
    )


def declaration(pools: int, teams: int = 5) -> Declaration:
    """Return a declaration of `pools` pools, each with a service."""
    return Declaration(
        OrganisationId("example"),
        tuple(Service(ServiceId(f"s{n}"), PoolId(f"p{n}"), False, 8) for n in range(pools)),
        tuple(Pool(PoolId(f"p{n}"), 88, 40, 4, spare=n == 0) for n in range(pools)),
        tuple(Team(TeamId(f"t{n}"), 8, 16.0) for n in range(teams)),
    )


def machine_with(pools: int, vms: int) -> StateMachine:
    """Return a state machine with the number of pools and VMs."""
    state = StateMachine()
    state.apply(
        LogIndex(1),
        ApplyDeclaration(Revision(0), RequestId("r"), OperatorId("o"), declaration(pools), 1.0),
    )
    for number in range(vms):
        announced = announcement(number)
        state.apply(
            LogIndex(number + 2),
            RegisterVm(
                announced.vm,
                announced.data_centre,
                announced.rack,
                announced.address,
                announced.capacity,
                announced.slots,
                PoolId(f"p{number % pools}"),
                2.0,
            ),
        )
    return state


def memory_bytes(build: Callable[[], object]) -> float:
    """Return the memory that the result of `build` uses, in bytes."""
    gc.collect()
    tracemalloc.start()
    result = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return float(used)


def time_us(action: Callable[[], object]) -> float:
    """Return the shortest of several runs in microseconds; other load only adds to a run."""
    best = float("inf")
    for _ in range(REPEAT_COUNT):
        start = time.perf_counter()
        action()
        best = min(best, time.perf_counter() - start)
    return best * US_PER_S


def state_memory() -> Slope:
    """Measure the memory of the state machine by VMs."""
    points = [(n, memory_bytes(lambda n=n: machine_with(182, n))) for n in (500, 1000, 2286)]  # type: ignore[misc]
    return Slope("state of a replica", "bytes", "VM", tuple(points))


def claim_memory() -> Slope:
    """Measure the memory of the state machine by claims."""

    def build(count: int) -> StateMachine:
        state = machine_with(5, 0)
        for number in range(count):
            claim = Claim(
                ServiceId("s1"),
                IdempotencyKey(f"key-{number}"),
                b"d" * 32,
                ProcessId("entry"),
                100.0,
                2.0,
            )
            state.apply(LogIndex(number + 10), claim)
        return state

    points = [(n, memory_bytes(lambda n=n: build(n))) for n in (2_000, 5_000, 10_000)]  # type: ignore[misc]
    return Slope("claims of a replica", "bytes", "claim", tuple(points))


def holder(count: int) -> Members:
    """Return the members of an entry process that is the holder of `count` targets."""
    members = Members(ProcessId("entry"))
    state = machine_with(5, count)
    members.assign(list(state.vms.values()))
    for number in range(count):
        members.announce(announcement(number), Instant(1.0))
    members.outbox.clear()
    return members


def holder_memory() -> Slope:
    """Measure the memory of an entry process by targets of its data centre."""
    points = [(n, memory_bytes(lambda n=n: holder(n))) for n in (80, 320, 762)]  # type: ignore[misc]
    return Slope("targets at an entry process", "bytes", "target", tuple(points))


def announcement_cost() -> Slope:
    """Measure the time to handle one announcement, by targets held."""
    points = []
    for count in (80, 320, 762):
        members = holder(count)

        def announce(members: Members = members, count: int = count) -> None:
            for number in range(count):
                members.announce(announcement(number), Instant(2.0))

        points.append((count, time_us(announce) / count))
    return Slope("one announcement, decided", "us", "target held", tuple(points))


def leader_round() -> Slope:
    """Measure a round of all decisions without changes, by VMs of the region.

    It includes the construction of the fleet.
    """
    points = []
    for count in (500, 1000, 2286):
        state = machine_with(26, count)
        reports = FleetReports()
        observed = [ObservedTarget(announcement(n), TargetState.READY, 1.0) for n in range(count)]
        reports.record_targets(ProcessId("entry"), 1, True, observed, (), Instant(10.0))
        ledger = BudgetLedger()
        decisions: Sequence[Decision] = (
            Registrar(),
            Placement(),
            Maintenance(ledger),
            Rollout(ledger),
            Capacity(ledger),
            Detection(ledger),
        )

        def decide(
            state: StateMachine = state,
            reports: FleetReports = reports,
            decisions: Sequence[Decision] = decisions,
        ) -> None:
            targets = reports.targets(Instant(10.5))
            fleet = Fleet(
                10.0, Revision(1), state.declaration, state.vms, state.tasks, targets=targets
            )
            for decision in decisions:
                decision.decide(fleet)

        decide()
        points.append((count, time_us(decide)))
    return Slope("one quiet round at the leader", "us", "VM", tuple(points))


def leader_report() -> Slope:
    """Measure the time to decode and record a holder's report, by targets in it."""
    points = []
    for count in (4, 16, 64, 320):
        message = ReportTargets(
            ProcessId("entry"),
            DataCentreId("dc-0"),
            1,
            True,
            tuple(TargetReport(announcement(n), TargetState.READY, 0.1) for n in range(count)),
        )
        data = encode(message)
        reports = FleetReports()

        def record_report(data: bytes = data, reports: FleetReports = reports) -> None:
            report = decode(data)
            targets = [ObservedTarget(t.announcement, t.state, t.age_s) for t in report.targets]
            reports.record_targets(report.process, 1, True, targets, (), Instant(1.0))

        points.append((count, time_us(record_report)))
    return Slope("a holder's report at the leader", "us", "target", tuple(points))


def report_bytes() -> Slope:
    """Measure the size of a holder's report, by targets in it."""
    points = []
    for count in (4, 16, 64):
        reports = tuple(TargetReport(announcement(n), TargetState.READY, 0.1) for n in range(count))
        message = ReportTargets(ProcessId("entry"), DataCentreId("dc-0"), 1, False, reports)
        points.append((count, float(len(encode(message)))))
    return Slope("a holder's report", "bytes", "target", tuple(points))


def watch_bytes() -> Slope:
    """Measure the size of a snapshot for an entry process, by VMs of its data centre."""
    points = []
    for count in (80, 320, 762):
        state = machine_with(182, count)
        changes = state.all_changes(DataCentreId("dc-0"))
        points.append((count, float(len(encode(WatchReply(state.index, True, changes))))))
    return Slope("a snapshot to an entry process", "bytes", "VM of the data centre", tuple(points))


def delta_cost() -> Slope:
    """Measure the time to find, encode and decode the changes after an index, by changes."""
    points = []
    state = machine_with(182, 2286)
    for count in (1, 10, 100):
        after = LogIndex(state.index - count)

        def watch(after: LogIndex = after) -> None:
            changes = state.changes_after(after, DataCentreId("dc-0"))
            assert changes is not None
            decode(encode(WatchReply(state.index, False, changes)))

        points.append((count, time_us(watch)))
    return Slope("changes to one watcher", "us", "change", tuple(points))


SLOPES: Sequence[Callable[[], Slope]] = (
    state_memory,
    claim_memory,
    holder_memory,
    announcement_cost,
    leader_round,
    leader_report,
    report_bytes,
    watch_bytes,
    delta_cost,
)


def main() -> int:
    """Measure every slope and print a table."""
    print("| what | slope | intercept | largest deviation | points |")
    print("| --- | --- | --- | --- | --- |")
    for measure in SLOPES:
        slope = measure()
        per, intercept = slope.line()
        points = json.dumps([[x, round(y, 1)] for x, y in slope.points])
        print(
            f"| {slope.name} | {per:.4g} {slope.unit} a {slope.per} | "
            f"{intercept:.4g} {slope.unit} | {slope.error():.1%} | `{points}` |"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
