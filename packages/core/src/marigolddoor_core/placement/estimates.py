"""Sizes and run times of jobs, estimated from usage reports that are late and inaccurate."""

import math
from collections import deque

from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.ids import FencingToken, JobId, TaskId
from marigolddoor_core.targets import Resources, TaskPhase, TaskReport

__all__ = ["Estimates", "quantile"]

# Two reports may both show the start-up of a task, so an estimate needs at least three.
MIN_SAMPLES = 3
MAX_SAMPLES = 32
# Reports of one run that lie closer together are alike and would outvote other runs.
SAMPLE_SPACING_S = 10.0
QUANTILE = 0.9
# Smaller changes are noise of usage reports; following them updates every task's allocation.
MIN_CHANGE = 0.1
# Declared run times are wrong by a factor of up to 10, so this allows twice as much.
RUNAWAY_DECLARED_FACTOR = 20.0
RUNAWAY_LEARNT_FACTOR = 5.0


def quantile(values: list[float], share: float) -> float:
    """Return the smallest of `values` that at least `share` of them do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class Estimates:
    """Estimates the size and the run time of each job.

    The declared size counts as one sample, so a job that declares too much keeps its declared size
    until 9 samples outvote it, and a job that declares too little is corrected after 3.
    """

    def __init__(self) -> None:
        self.usage: dict[JobId, deque[Resources]] = {}
        self.runs: dict[JobId, deque[float]] = {}
        self.sizes: dict[JobId, Resources] = {}
        self.last_samples: dict[TaskId, tuple[FencingToken, float]] = {}
        self.last_reports: dict[TaskId, tuple[FencingToken, float, TaskPhase]] = {}

    def add(self, job: Job, report: TaskReport) -> bool:
        """Add one report; return whether the size of the job changed by a tenth or more."""
        mark = (report.token, report.run_s, report.phase)
        if self.last_reports.get(report.task) == mark:
            return False
        self.last_reports[report.task] = mark
        if report.phase is TaskPhase.FINISHED:
            self.runs.setdefault(job.id, deque(maxlen=MAX_SAMPLES)).append(report.run_s)
        if report.phase is not TaskPhase.RUNNING or report.usage.cores <= 0.0:
            return False
        token, sampled_s = self.last_samples.get(report.task, (FencingToken(-1), 0.0))
        if token == report.token and report.run_s - sampled_s < SAMPLE_SPACING_S:
            return False
        self.last_samples[report.task] = (report.token, report.run_s)
        samples = self.usage.setdefault(job.id, deque(maxlen=MAX_SAMPLES))
        samples.append(report.usage)
        if len(samples) < MIN_SAMPLES:
            return False
        declared = job.size
        before = self.size(job)
        after = Resources(
            quantile([declared.cores, *(sample.cores for sample in samples)], QUANTILE),
            int(quantile([declared.memory_mb, *(s.memory_mb for s in samples)], QUANTILE)),
            declared.accelerators,
        )
        if not _is_significant_change(before, after):
            return False
        self.sizes[job.id] = after
        return True

    def forget(self, task: TaskId) -> None:
        """Drop the report state of a task that has ended."""
        self.last_reports.pop(task, None)
        self.last_samples.pop(task, None)

    def size(self, job: Job) -> Resources:
        """Return the resources that a task of the job is expected to need."""
        return self.sizes.get(job.id, job.size)

    def is_runaway(self, job: Job, run_s: float) -> bool:
        """Return whether a run is far longer than runs of the job are expected to be.

        A job that declares no run time may run indefinitely.
        """
        if job.run_s <= 0.0:
            return False
        runs = self.runs.get(job.id)
        if runs is not None and len(runs) >= MIN_SAMPLES:
            learnt = quantile(list(runs), QUANTILE)
            return run_s > RUNAWAY_LEARNT_FACTOR * max(learnt, job.run_s)
        return run_s > RUNAWAY_DECLARED_FACTOR * job.run_s


def _is_significant_change(before: Resources, after: Resources) -> bool:
    cores = abs(after.cores - before.cores) >= MIN_CHANGE * max(before.cores, 0.01)
    memory = abs(after.memory_mb - before.memory_mb) >= MIN_CHANGE * max(before.memory_mb, 1)
    return cores or memory
