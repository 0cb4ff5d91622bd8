"""Sizes and run times of jobs, learnt from usage reports that lag and lie."""

import math
from collections import deque

from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.ids import FencingToken, JobId, TaskId
from marigolddoor_core.targets import Resources, TaskPhase, TaskReport

__all__ = ["Estimates", "quantile"]

# Two reports may both show the start-up of a task, so three are the least that count.
MIN_SAMPLES = 3
MAX_SAMPLES = 32
# Reports of one run that lie closer together say the same and would outvote other runs.
SAMPLE_SPACING_S = 10.0
QUANTILE = 0.9
# A change below a tenth is within the noise of usage reports; following it recharges every task.
MIN_CHANGE = 0.1
# Declared run times are wrong by up to ten times, so a declared run is endless after twice that.
ENDLESS_DECLARED_FACTOR = 20.0
ENDLESS_LEARNT_FACTOR = 5.0


def quantile(values: list[float], share: float) -> float:
    """Return the smallest of `values` that at least `share` of them do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class Estimates:
    """Learns the size and the run time of each job.

    The declared size counts as one sample, so a job that declares too much keeps its declared size
    until 9 samples outvote it, and a job that declares too little is corrected after 3.
    """

    def __init__(self) -> None:
        self.usage: dict[JobId, deque[Resources]] = {}
        self.runs: dict[JobId, deque[float]] = {}
        self.sizes: dict[JobId, Resources] = {}
        self.sampled: dict[TaskId, tuple[FencingToken, float]] = {}
        self.last: dict[TaskId, tuple[FencingToken, float, TaskPhase]] = {}

    def add(self, job: Job, report: TaskReport) -> bool:
        """Take in one report; return whether the size of the job changed by a tenth or more."""
        mark = (report.token, report.run_s, report.phase)
        if self.last.get(report.task) == mark:
            return False
        self.last[report.task] = mark
        if report.phase is TaskPhase.FINISHED:
            self.runs.setdefault(job.id, deque(maxlen=MAX_SAMPLES)).append(report.run_s)
        if report.phase is not TaskPhase.RUNNING or report.usage.cores <= 0.0:
            return False
        token, sampled_s = self.sampled.get(report.task, (FencingToken(-1), 0.0))
        if token == report.token and report.run_s - sampled_s < SAMPLE_SPACING_S:
            return False
        self.sampled[report.task] = (report.token, report.run_s)
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
        if not _is_other(before, after):
            return False
        self.sizes[job.id] = after
        return True

    def forget(self, task: TaskId) -> None:
        """Drop what is kept for a task that has ended."""
        self.last.pop(task, None)
        self.sampled.pop(task, None)

    def size(self, job: Job) -> Resources:
        """Return what a task of the job is expected to need."""
        return self.sizes.get(job.id, job.size)

    def is_endless(self, job: Job, run_s: float) -> bool:
        """Return whether a run is far longer than runs of the job are expected to be.

        A job that declares no run time is meant to run without end.
        """
        if job.run_s <= 0.0:
            return False
        runs = self.runs.get(job.id)
        if runs is not None and len(runs) >= MIN_SAMPLES:
            learnt = quantile(list(runs), QUANTILE)
            return run_s > ENDLESS_LEARNT_FACTOR * max(learnt, job.run_s)
        return run_s > ENDLESS_DECLARED_FACTOR * job.run_s


def _is_other(before: Resources, after: Resources) -> bool:
    cores = abs(after.cores - before.cores) >= MIN_CHANGE * max(before.cores, 0.01)
    memory = abs(after.memory_mb - before.memory_mb) >= MIN_CHANGE * max(before.memory_mb, 1)
    return cores or memory
