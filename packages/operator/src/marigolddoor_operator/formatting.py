"""Formats reports as text for a terminal."""

from collections.abc import Sequence
from datetime import UTC, datetime, timedelta

from marigolddoor_core.declaration.plans import Effect
from marigolddoor_core.operations.reports import (
    ApplyReport,
    ErrorReport,
    JobsReport,
    PlanReport,
    PoolsReport,
    QuestionReport,
    QuestionsReport,
    StatusReport,
)
from marigolddoor_core.timeline import Event, Subject, Timeline

__all__ = [
    "NOT_LEADER",
    "apply_text",
    "duration_text",
    "error_text",
    "event_text",
    "gaps_text",
    "jobs_text",
    "plan_text",
    "pools_text",
    "printable",
    "questions_text",
    "status_text",
    "subject_text",
    "time_text",
]

NOT_LEADER = "note: the leader did not answer; states of VMs and processes may be missing\n"

_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


def printable(text: object) -> str:
    """Return `text` without control characters, which a terminal would interpret."""
    return "".join(part if part.isprintable() else "?" for part in str(text))


def status_text(report: StatusReport) -> str:
    """Return a status as text."""
    leader = "unknown" if report.leader is None else report.leader
    lines = [
        f"organisation  {report.organisation or 'none declared'}",
        f"revision      {report.revision}" + (f" by {report.author}" if report.author else ""),
        f"leader        {leader} (answered by {report.replica} at log index {report.index})",
        f"VMs           {report.vms}, {report.ready} ready",
        f"tasks         {report.tasks_leased} running, {report.tasks_waiting} waiting, "
        f"{report.tasks_set_aside} set aside",
        f"questions     {report.open_questions} open",
    ]
    if report.in_force:
        lines += ["", "revision in force on each entry process:"]
        rows = [
            [
                entry.process,
                entry.data_centre or "-",
                f"revision {entry.revision}",
                "-" if entry.age_s is None else f"{entry.age_s:.1f} s ago",
            ]
            for entry in report.in_force
        ]
        lines += _table(rows)
    if report.behind:
        lines.append(f"behind: {', '.join(report.behind)}")
    return _join_lines(lines)


def pools_text(report: PoolsReport, with_vms: bool) -> str:
    """Return pools as a table, and tables of their VMs with `with_vms`."""
    rows = [["POOL", "SIZE", "FLOOR", "ASSIGNED", "AVAILABLE", "UNAVAILABLE", "BUDGET", ""]]
    for pool in report.pools:
        notes = [] if pool.within_budget else ["over budget"]
        if pool.spare:
            notes.append("spare")
        counts = (pool.size, pool.floor, pool.assigned, pool.available, pool.unavailable)
        rows.append([pool.pool, *map(str, counts), str(pool.max_unavailable), ", ".join(notes)])
    lines = _table(rows)
    for pool in report.pools if with_vms else ():
        vms = [["VM", "DATA CENTRE", "RACK", "EPOCH", "STATE", "MOVES TO", "MAINTENANCE"]]
        vms += [
            [
                vm.vm,
                vm.data_centre,
                vm.rack,
                str(vm.epoch),
                "unknown" if vm.state is None else vm.state.value,
                vm.next_pool or "-",
                "-" if vm.maintenance is None else vm.maintenance.value,
            ]
            for vm in pool.vms
        ]
        lines += ["", *_table(vms)]
    return _join_lines(lines)


def jobs_text(report: JobsReport) -> str:
    """Return jobs as a table, and the tasks set aside with their reasons."""
    rows = [["JOB", "POOL", "TEAM", "VERSION", "TASKS", "RUNNING", "WAITING", "DONE", "ASIDE"]]
    set_aside_lines = []
    for job in report.jobs:
        counts = (job.tasks, job.leased, job.waiting, job.finished, len(job.set_aside))
        rows.append([job.job, job.pool, job.team, job.version, *map(str, counts)])
        for task in job.set_aside:
            workers = f" (on {', '.join(task.failed_on)})" if task.failed_on else ""
            set_aside_lines.append(f"{task.task} is set aside: {task.reason}{workers}")
    return _join_lines(_table(rows) + ([""] if set_aside_lines else []) + set_aside_lines)


def questions_text(report: QuestionsReport) -> str:
    """Return questions with their facts and choices."""
    if not report.questions:
        return "no open question\n"
    lines: list[str] = []
    for question in report.questions:
        lines += [*_question_lines(question), ""]
    return _join_lines(lines[:-1])


def _question_lines(question: QuestionReport) -> list[str]:
    lines = [f"{question.question}  {question.sentence}"]
    lines += [f"    {fact.text} ({duration_text(fact.age_s)} ago)" for fact in question.facts]
    lines += _table([[f"    {choice.name}", choice.effect] for choice in question.choices])
    if question.answer is not None:
        lines.append(f"    answered by {question.author or 'default'}: {question.answer}")
    elif question.closed:
        lines.append("    closed: its cause no longer applies")
    else:
        remaining = duration_text(question.default_in_s)
        lines.append(f"    without an answer: {question.default}, in {remaining}")
    return lines


def plan_text(report: PlanReport) -> str:
    """Return the effects of a change, one per line, with those that block it last."""
    items = report.plan.items
    if not items:
        return f"nothing changes against revision {report.revision}\n"
    lines = [f"against revision {report.revision}:"]
    lines += [f"  {item.sentence}" for item in items if item.effect is not Effect.BLOCKED]
    if report.plan.blocked:
        lines.append("the change would be refused:")
        lines += [f"  {item.sentence}" for item in items if item.effect is Effect.BLOCKED]
    return _join_lines(lines)


def apply_text(report: ApplyReport) -> str:
    """Return the revision that was committed."""
    return _join_lines([f"revision {report.revision} by {report.author}"])


def error_text(report: ErrorReport) -> str:
    """Return an error with its problems, one per line."""
    if len(report.problems) == 1 and report.problems[0] == report.message:
        return _join_lines([f"{report.error}: {report.message}"])
    if report.problems:
        return _join_lines([f"{report.error}:", *(f"  {problem}" for problem in report.problems)])
    return _join_lines([f"{report.error}: {report.message}"])


def event_text(event: Event) -> str:
    """Return an event as one line."""
    parts = [time_text(event), f"{event.id:<22}", f"{event.kind.value:<20}"]
    cause = f"<- {event.cause}" if event.cause is not None else ""
    parts += [part for part in (subject_text(event.subject), event.text, cause) if part]
    return _join_lines(["  ".join(parts)])


def gaps_text(timeline: Timeline) -> str:
    """Return the gaps of a timeline, one per line."""
    lines = [
        f"missing: {process.name} was not reached ({process.reason})"
        for process in timeline.missing
    ]
    lines += [
        f"missing: {process.process} dropped {process.dropped} older events"
        for process in timeline.processes
        if process.dropped
    ]
    return _join_lines(lines) if lines else ""


def subject_text(subject: Subject) -> str:
    """Return the ids of the objects that an event concerns."""
    parts = (
        ("request", subject.request),
        ("service", subject.service),
        ("vm", subject.vm),
        ("pool", subject.pool),
        ("job", subject.job),
        ("task", subject.task),
        ("revision", subject.revision),
        ("question", subject.question),
    )
    return " ".join(f"{name}={value}" for name, value in parts if value is not None)


def time_text(event: Event) -> str:
    """Return the time of an event in UTC."""
    try:
        utc_time = _EPOCH + timedelta(milliseconds=event.time.physical_ms)
    except OverflowError:
        return f"{event.time.physical_ms} ms"
    return utc_time.strftime("%Y-%m-%d %H:%M:%S.") + f"{utc_time.microsecond // 1000:03d}"


def duration_text(seconds: float) -> str:
    """Return a duration in the largest unit in which it is at least 1."""
    for size, unit in ((86_400, "d"), (3_600, "h"), (60, "min")):
        if seconds >= size:
            return f"{seconds / size:.1f}".removesuffix(".0") + f" {unit}"
    return f"{seconds:.0f} s"


def _table(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(len(printable(row[i])) for row in rows) for i in range(len(rows[0]))]
    return [
        "  ".join(
            printable(cell).ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _join_lines(lines: Sequence[str]) -> str:
    return "".join(f"{printable(line)}\n" for line in lines)
