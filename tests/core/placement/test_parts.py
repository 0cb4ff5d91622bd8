"""Tests of the parts of placement: estimates, free capacity, leases and failures."""

import testtools
from marigolddoor_core.ids import DataCentreId, Epoch, FencingToken, JobId, PoolId, RackId, TaskId
from marigolddoor_core.ids import VmId as Vm
from marigolddoor_core.placement.estimates import Estimates, quantile
from marigolddoor_core.placement.failures import FailureRecord
from marigolddoor_core.placement.free_capacity import FreeCapacityIndex
from marigolddoor_core.placement.leases import LeaseTable, regrant_after_s
from marigolddoor_core.state.objects import TaskRecord, TaskState, VmRecord
from marigolddoor_core.targets import Resources, TaskPhase, TaskReport
from marigolddoor_standins.virtual.samples import job

SMALL = Resources(1.0, 1_000)
LARGE = Resources(10.0, 10_000)


def running(number: int, usage: Resources, phase: TaskPhase = TaskPhase.RUNNING) -> TaskReport:
    return TaskReport(TaskId("t"), FencingToken(1), phase, usage, 10.0 * number)


class TestEstimates(testtools.TestCase):
    """Guards against estimated sizes that follow a single report, or no report at all."""

    scenarios = [
        ("no sample", {"declared": SMALL, "samples": [], "size": SMALL}),
        ("one sample", {"declared": SMALL, "samples": [LARGE], "size": SMALL}),
        ("two samples", {"declared": SMALL, "samples": [LARGE] * 2, "size": SMALL}),
        ("ten times too small", {"declared": SMALL, "samples": [LARGE] * 3, "size": LARGE}),
        ("few small samples", {"declared": LARGE, "samples": [SMALL] * 8, "size": LARGE}),
        ("ten times too large", {"declared": LARGE, "samples": [SMALL] * 9, "size": SMALL}),
        ("one outlier", {"declared": SMALL, "samples": [SMALL] * 20 + [LARGE], "size": SMALL}),
    ]

    def test_size(self) -> None:
        declared = job("j", size=self.declared)
        estimates = Estimates()
        for number, sample in enumerate(self.samples):
            estimates.add(declared, running(number, sample))
        self.assertEqual(self.size, estimates.size(declared))

    def test_a_repeated_report_counts_once(self) -> None:
        declared = job("j", size=self.declared)
        estimates = Estimates()
        for _ in range(5):
            for sample in self.samples[:1]:
                estimates.add(declared, running(0, sample))
        self.assertEqual(self.declared, estimates.size(declared))


class TestRunawayTasks(testtools.TestCase):
    """Guards against runaway tasks that are not detected, and against false positives."""

    scenarios = [
        ("no declared run time", {"declared_s": 0.0, "runs": [], "run_s": 1e9, "runaway": False}),
        ("wrong by ten", {"declared_s": 10.0, "runs": [], "run_s": 100.0, "runaway": False}),
        ("far longer", {"declared_s": 10.0, "runs": [], "run_s": 201.0, "runaway": True}),
        ("learnt", {"declared_s": 10.0, "runs": [100.0] * 3, "run_s": 400.0, "runaway": False}),
        ("over learnt", {"declared_s": 10.0, "runs": [100.0] * 3, "run_s": 501.0, "runaway": True}),
    ]

    def test_runaway(self) -> None:
        declared = job("j", run_s=self.declared_s)
        estimates = Estimates()
        for number, run_s in enumerate(self.runs):
            report = TaskReport(
                TaskId(f"t{number}"), FencingToken(1), TaskPhase.FINISHED, SMALL, run_s
            )
            estimates.add(declared, report)
        self.assertEqual(self.runaway, estimates.is_runaway(declared, self.run_s))


class TestQuantile(testtools.TestCase):
    scenarios = [
        ("one", {"values": [3.0], "share": 0.9, "expected": 3.0}),
        ("median", {"values": [1.0, 2.0, 3.0], "share": 0.5, "expected": 2.0}),
        ("nine of ten", {"values": [float(n) for n in range(10)], "share": 0.9, "expected": 8.0}),
    ]

    def test_quantile(self) -> None:
        self.assertEqual(self.expected, quantile(self.values, self.share))


class TestFreeCapacityIndex(testtools.TestCase):
    """Guards against a search that misses a worker, or returns one that is too small."""

    scenarios = [
        ("exact", {"size": Resources(4.0, 8_000), "found": ["b", "c"]}),
        ("cores only", {"size": Resources(5.0, 1_000), "found": ["c"]}),
        ("memory only", {"size": Resources(0.5, 20_000), "found": ["a"]}),
        ("accelerators", {"size": Resources(1.0, 1_000, 1), "found": ["c"]}),
        ("nothing", {"size": Resources(17.0, 1), "found": []}),
    ]

    def test_find(self) -> None:
        index = FreeCapacityIndex()
        index.update(Vm("a"), Resources(1.0, 32_000))
        index.update(Vm("b"), Resources(16.0, 1))
        index.update(Vm("b"), Resources(4.0, 8_000))
        index.update(Vm("c"), Resources(8.0, 8_000, 2))
        index.update(Vm("removed"), Resources(16.0, 32_000, 8))
        index.remove(Vm("removed"))
        self.assertEqual(self.found, sorted(index.find(self.size, lambda vm: True)))
        self.assertEqual([], index.find(self.size, lambda vm: False))


class TestFreeCapacityGeneration(testtools.TestCase):
    """Guards against a blocked job that is never retried."""

    scenarios = [
        ("more cores", {"after": Resources(3.0, 1), "grows": True}),
        ("less", {"after": Resources(1.0, 1), "grows": False}),
        ("more of one, less of another", {"after": Resources(1.0, 9), "grows": True}),
    ]

    def test_generation(self) -> None:
        index = FreeCapacityIndex()
        index.update(Vm("a"), Resources(2.0, 1))
        before = index.generation
        index.update(Vm("a"), self.after)
        self.assertEqual(self.grows, index.generation > before)


def leased(until_s: float, token: int = 1) -> TaskRecord:
    return TaskRecord(
        TaskId("t"), JobId("j"), TaskState.LEASED, FencingToken(token), Vm("a"), until_s
    )


class TestLeaseTable(testtools.TestCase):
    """Guards against a second grant while the first worker may still run the task."""

    scenarios = [
        ("not renewed", {"renewals": [], "inherited": False, "over_at_s": 146.45}),
        ("renewed", {"renewals": [120.0], "inherited": False, "over_at_s": 166.45}),
        ("renewed too late", {"renewals": [146.0], "inherited": False, "over_at_s": 146.45}),
        ("new leader", {"renewals": [], "inherited": True, "over_at_s": 186.45}),
    ]

    def test_expiry(self) -> None:
        table = LeaseTable()
        table.apply(leased(145.0), 140.0 if self.inherited else 100.0, self.inherited)
        for now_s in self.renewals:
            table.renew(TaskId("t"), FencingToken(1), now_s)
        self.assertEqual([], table.expired(self.over_at_s - 0.01))
        self.assertEqual([(TaskId("t"), FencingToken(1))], table.expired(self.over_at_s + 0.01))
        self.assertEqual([], table.expired(self.over_at_s + 100.0))

    def test_an_old_token_is_not_renewed(self) -> None:
        table = LeaseTable()
        table.apply(leased(145.0, token=2), 100.0, self.inherited)
        self.assertFalse(table.renew(TaskId("t"), FencingToken(1), 110.0))

    def test_margin_covers_drift(self) -> None:
        self.assertEqual(146.45, regrant_after_s(145.0))


def failed(task: str, of_job: str, *vms: str, submitted_s: float = 100.0) -> TaskRecord:
    return TaskRecord(
        TaskId(task),
        JobId(of_job),
        TaskState.WAITING,
        submitted_s=submitted_s,
        failures=len(vms),
        failed_on=tuple(Vm(vm) for vm in vms),
    )


class TestFailureAttribution(testtools.TestCase):
    """Guards against workers set aside for broken jobs, and against unnoticed faulty workers."""

    scenarios = [
        ("one job", {"tasks": [failed(f"t{n}", "a", "w") for n in range(9)], "faulty": False}),
        (
            "several jobs",
            {
                "tasks": [failed("t1", "a", "w"), failed("t2", "a", "w"), failed("t3", "b", "w")],
                "faulty": True,
            },
        ),
        (
            "jobs that fail everywhere",
            {
                "tasks": [
                    failed("t1", "a", "w", "x", "y"),
                    failed("t2", "b", "w", "x", "y"),
                    failed("t3", "b", "w"),
                ],
                "faulty": False,
            },
        ),
        (
            "before its last maintenance",
            {
                "tasks": [
                    failed("t1", "a", "w", submitted_s=10.0),
                    failed("t2", "a", "w", submitted_s=10.0),
                    failed("t3", "b", "w", submitted_s=10.0),
                ],
                "faulty": False,
            },
        ),
    ]

    def test_a_faulty_worker_is_recognised(self) -> None:
        worker = VmRecord(
            Vm("w"), DataCentreId("d"), RackId("r"), "", SMALL, 8, PoolId("p"), Epoch(1),
            maintained_s=50.0,
        )  # fmt: skip
        failures = FailureRecord()
        for task in self.tasks:
            failures.apply(None, task)
        self.assertEqual(self.faulty, failures.is_worker_faulty(worker))
        for task in self.tasks:
            failures.apply(task, None)
        self.assertFalse(failures.is_worker_faulty(worker))
