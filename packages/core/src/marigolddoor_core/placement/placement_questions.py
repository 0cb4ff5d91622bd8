"""Drafts of the questions that placement asks the operators."""

from collections.abc import Iterable

from marigolddoor_core.declaration.organisation import Job
from marigolddoor_core.ids import VmId
from marigolddoor_core.questions.question_tracker import QuestionDraft
from marigolddoor_core.state.commands import Choice, Fact
from marigolddoor_core.state.objects import QuestionRecord, TaskRecord
from marigolddoor_core.targets import Resources

__all__ = [
    "RUNAWAY",
    "SET_ASIDE_TASK",
    "SET_ASIDE_WORKER",
    "UNRESPONSIVE_TARGET",
    "UNSCHEDULABLE_JOB",
    "runaway_task",
    "task_set_aside",
    "unschedulable_job",
    "worker_set_aside",
    "workers_with_answer",
]

UNSCHEDULABLE_JOB = "job-never-fits:"
RUNAWAY = "task-endless:"
SET_ASIDE_TASK = "task-set-aside:"
SET_ASIDE_WORKER = "worker-set-aside:"
UNRESPONSIVE_TARGET = "target-silent:"

DAY_S = 86_400.0
# A worker that is set aside costs its pool a VM, so the default reboot applies soon.
REBOOT_AFTER_S = 900.0


def _amount(size: Resources) -> str:
    return f"{size.cores:g} cores, {size.memory_mb} MB and {size.accelerators} accelerators"


def unschedulable_job(job: Job, size: Resources, largest: Resources, now_s: float) -> QuestionDraft:
    """Return the question about a job whose tasks fit no worker of its pool."""
    return QuestionDraft(
        f"{UNSCHEDULABLE_JOB}{job.id}",
        f"Job {job.id} needs more than any worker of pool {job.pool} has. What should happen?",
        (
            Fact(f"A task of the job needs {_amount(size)}.", now_s),
            Fact(f"The most that workers of the pool have is {_amount(largest)}.", now_s),
        ),
        (
            Choice("wait", "The tasks wait until a worker is large enough or the job is changed."),
            Choice("cancel", "The waiting tasks of the job are cancelled."),
        ),
        "wait",
        DAY_S,
    )


def runaway_task(record: TaskRecord, job: Job, run_s: float, now_s: float) -> QuestionDraft:
    """Return the question about a task that runs far longer than expected."""
    return QuestionDraft(
        f"{RUNAWAY}{record.task}",
        f"Task {record.task} runs far longer than expected. Should it go on?",
        (
            Fact(f"It has run for {run_s:.0f} s on {record.vm}.", now_s),
            Fact(f"Job {job.id} declares {job.run_s:.0f} s.", now_s),
        ),
        (
            Choice("continue", "The task keeps running."),
            Choice("cancel", "The task is stopped and cancelled."),
        ),
        "continue",
        DAY_S,
    )


def task_set_aside(record: TaskRecord, now_s: float) -> QuestionDraft:
    """Return the question about a task that failed on several workers."""
    workers = ", ".join(record.failed_on)
    return QuestionDraft(
        f"{SET_ASIDE_TASK}{record.task}",
        f"Task {record.task} failed on {len(record.failed_on)} workers and waits for a decision.",
        (Fact(f"It failed on {workers}: {record.reason}.", now_s),),
        (
            Choice("keep", "The task stays set aside."),
            Choice("retry", "The task is queued again and its failures are cleared."),
            Choice("cancel", "The task is cancelled."),
        ),
        "keep",
        DAY_S,
    )


def worker_set_aside(vm: VmId, jobs: int, now_s: float) -> QuestionDraft:
    """Return the question about a worker that fails tasks of several jobs."""
    return QuestionDraft(
        f"{SET_ASIDE_WORKER}{vm}",
        f"Worker {vm} fails tasks that run elsewhere and gets no more. What should happen?",
        (Fact(f"Tasks of {jobs} jobs failed on it.", now_s),),
        (
            Choice("reboot", "The worker is rebooted in the next wave and used again."),
            Choice("trust", "The worker is used again as it is."),
            Choice("keep", "The worker stays set aside."),
        ),
        "reboot",
        REBOOT_AFTER_S,
    )


def workers_with_answer(questions: Iterable[QuestionRecord], answer: str) -> frozenset[VmId]:
    """Return the workers whose open question has this answer."""
    return frozenset(
        VmId(record.subject.partition(":")[2])
        for record in questions
        if record.answer == answer
        and not record.closed
        and record.subject.startswith((SET_ASIDE_WORKER, UNRESPONSIVE_TARGET))
    )
