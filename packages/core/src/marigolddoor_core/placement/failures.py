"""Distinguishes faulty workers from jobs whose tasks fail on every worker."""

from marigolddoor_core.ids import JobId, TaskId, VmId
from marigolddoor_core.state.objects import TaskRecord, VmRecord

__all__ = ["FAILED_WORKERS", "FailureRecord"]

# A task that failed on this many workers is itself at fault.
FAILED_WORKERS = 3
# Two broken jobs can fail on one worker by chance; with a third failure it is unlikely.
FAILING_JOBS = 2
WORKER_FAILURES = 3


class FailureRecord:
    """Attributes failures from committed records alone, so that a new leader decides alike.

    A worker is at fault if tasks of jobs that did not fail widely failed on it. A job whose tasks
    failed on 3 workers counts as broken, and its failures count against no worker. Failures of
    tasks that were submitted before the last maintenance of a worker do not count against it.
    """

    def __init__(self) -> None:
        self.by_vm: dict[VmId, dict[TaskId, JobId]] = {}
        self.by_job: dict[JobId, dict[VmId, int]] = {}
        self.submitted_s: dict[TaskId, float] = {}

    def apply(self, old: TaskRecord | None, new: TaskRecord | None) -> dict[VmId, None]:
        """Apply the change of a task; return the workers whose verdict may have changed."""
        before = () if old is None else old.failed_on
        after = () if new is None else new.failed_on
        if before == after:
            return {}
        touched: dict[VmId, None] = {}
        if old is not None:
            for vm in before:
                self.by_vm[vm].pop(old.task, None)
                workers = self.by_job[old.job]
                workers[vm] -= 1
                if not workers[vm]:
                    del workers[vm]
            touched.update(dict.fromkeys((*before, *self.by_job.get(old.job, ()))))
            self.submitted_s.pop(old.task, None)
        if new is not None:
            for vm in after:
                self.by_vm.setdefault(vm, {})[new.task] = new.job
                workers = self.by_job.setdefault(new.job, {})
                workers[vm] = workers.get(vm, 0) + 1
            touched.update(dict.fromkeys((*after, *self.by_job.get(new.job, ()))))
            self.submitted_s[new.task] = new.submitted_s
        return touched

    def is_job_broken(self, job: JobId) -> bool:
        """Return whether the tasks of a job failed on 3 different workers."""
        return len(self.by_job.get(job, ())) >= FAILED_WORKERS

    def is_worker_faulty(self, record: VmRecord) -> bool:
        """Return whether the worker fails tasks of several jobs that run elsewhere."""
        failures = [
            job
            for task, job in self.by_vm.get(record.vm, {}).items()
            if self.submitted_s[task] >= record.maintained_s and not self.is_job_broken(job)
        ]
        return len(failures) >= WORKER_FAILURES and len(set(failures)) >= FAILING_JOBS
