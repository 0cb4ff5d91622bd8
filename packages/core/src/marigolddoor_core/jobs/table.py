"""The replicated table of jobs, executors, maintenance waves and the configuration."""

from typing import Any, Protocol

from marigolddoor_core.ids import ExecutorIncarnation, JobId, LogIndex, MachineId, RunNumber, WaveId
from marigolddoor_core.jobs.changes import (
    AcceptJob,
    BeginUpkeep,
    CancelJob,
    ChangesRecorded,
    DropExecutor,
    EndRun,
    EnrolExecutor,
    FinishWave,
    JobChange,
    OpenWave,
    OrderMove,
    PlaceRun,
    RecordChanges,
    StoreConfiguration,
)
from marigolddoor_core.jobs.configuration import FleetConfiguration, InvalidConfigurationError
from marigolddoor_core.jobs.enrolment import EnrolledExecutor
from marigolddoor_core.jobs.phases import JobPhase, RunEnd, TaskPhase
from marigolddoor_core.jobs.records import JobRecord, StepRecord, TaskRecord
from marigolddoor_core.jobs.specs import InvalidJobError, JobSpec, parse_task_name
from marigolddoor_core.jobs.stored import (
    JobTableSnapshot,
    StoredJob,
    StoredMachineOrder,
    StoredTask,
    StoredWave,
)
from marigolddoor_core.jobs.waves import WaveRecord

__all__ = ["DocumentReader", "JobTable", "TableObserver"]

# Ended jobs are kept for this long. The platform requires 120 s (`status_s`); the rest covers a
# caller whose clock or request is late.
JOB_RETENTION_S = 150.0
# Orders for a machine are kept for longer than a previous leader's order can still be in effect: an
# order is repeated for up to 8 s, its call takes at most 2 s, orders of two leaders have to be 3 s
# apart, and the clocks of leaders may differ by 2 s.
MACHINE_ORDER_RETENTION_S = 16.0


class DocumentReader(Protocol):
    """Parses documents of callers and operators, whose format the table does not depend on."""

    def read_job(self, document: bytes) -> JobSpec:
        """Return the job in a document.

        Raises:
          InvalidJobError: it can't be parsed or is inconsistent.
        """
        ...

    def read_configuration(self, document: bytes) -> FleetConfiguration:
        """Return the configuration in a document.

        Raises:
          InvalidConfigurationError: it can't be parsed in full or is inconsistent.
        """
        ...


class TableObserver(Protocol):
    """Is notified of each effect of a change, so that its work is proportional to the change."""

    def job_accepted(self, job: JobRecord) -> None:
        """A job was added."""
        ...

    def run_placed(self, task: TaskRecord) -> None:
        """A task was placed on an executor."""
        ...

    def run_not_placed(self, placement: PlaceRun) -> None:
        """A placement had no effect: the task was not waiting for this run or its job had ended."""
        ...

    def run_ended(self, task: TaskRecord, end: RunEnd) -> None:
        """A run ended; `task` still names the executor of that run."""
        ...

    def run_superseded(self, task: TaskRecord) -> None:
        """The latest run is no longer needed, since an earlier run of its task succeeded late."""
        ...

    def task_done(self, task: TaskRecord) -> None:
        """A task is done by the late success of an earlier run."""
        ...

    def job_ended(self, job: JobRecord) -> None:
        """A job was completed, failed or was cancelled."""
        ...

    def wave_opened(self, wave: WaveRecord) -> None:
        """A maintenance wave was opened."""
        ...

    def maintenance_begun(self, wave: WaveRecord, machine: MachineId) -> None:
        """The maintenance of a machine was committed; the platform is to be called."""
        ...

    def configuration_changed(self) -> None:
        """Another configuration is in force."""
        ...


class JobTable:
    """Applies changes in log order, with the same outcome on every replica.

    Documents are checked before they are proposed. One that an earlier version accepted and that
    can't be read any more is skipped and counted in `unreadable`: the replica would otherwise fail
    again after each restart.
    """

    def __init__(self, reader: DocumentReader) -> None:
        self.reader = reader
        self.time_s = 0.0
        self.jobs: dict[JobId, JobRecord] = {}
        # Ended jobs in the order of their ends, for the removal of expired ones.
        self.ended: dict[JobId, float] = {}
        self.waves: dict[WaveId, WaveRecord] = {}
        self.executors: dict[ExecutorIncarnation, EnrolledExecutor] = {}
        # When an order for a machine was last recorded, oldest first.
        self.machine_orders: dict[MachineId, float] = {}
        self.configuration: FleetConfiguration | None = None
        self.document = b""
        self.observer: TableObserver | None = None
        self.unreadable = 0

    @property
    def version(self) -> int:
        """Return the version of the configuration in force; 0 if there is none."""
        return 0 if self.configuration is None else self.configuration.version

    def apply(self, index: LogIndex, command: RecordChanges) -> ChangesRecorded:
        """Apply the changes at `index`."""
        self.time_s = max(self.time_s, command.time_s)
        for change in command.changes:
            self._apply(change)
        self._remove_expired()
        return ChangesRecorded()

    def task(self, name: str) -> TaskRecord | None:
        """Return the task with this name, or None if there is none."""
        try:
            key = parse_task_name(name)
            job = self.jobs.get(key.job)
            return None if job is None else job.step(key.occurrence, key.step).tasks[key.index]
        except (InvalidJobError, IndexError):
            return None

    def _apply(self, change: JobChange) -> None:
        if isinstance(change, PlaceRun):
            self._place(change)
        elif isinstance(change, EndRun):
            self._end_run(change)
        elif isinstance(change, AcceptJob):
            self._accept(change)
        elif isinstance(change, CancelJob):
            job = self.jobs.get(change.job)
            if job is not None and job.phase is JobPhase.ACTIVE:
                self._end_job(job, JobPhase.CANCELED)
        elif isinstance(change, EnrolExecutor):
            self.executors[change.executor.incarnation] = change.executor
        elif isinstance(change, DropExecutor):
            self.executors.pop(change.life, None)
        elif isinstance(change, StoreConfiguration):
            self._store_configuration(change)
        elif isinstance(change, OpenWave):
            self._open_wave(change)
        elif isinstance(change, OrderMove):
            self._track_machine_order(change.machine)
        elif isinstance(change, BeginUpkeep):
            self._track_machine_order(change.machine)
            wave = self.waves.get(change.wave)
            if wave is not None:
                wave.begun[change.machine] = None
                if self.observer is not None:
                    self.observer.maintenance_begun(wave, change.machine)
        elif isinstance(change, FinishWave):
            wave = self.waves.get(change.wave)
            if wave is not None:
                wave.is_finished = True

    def _accept(self, change: AcceptJob) -> None:
        if change.job in self.jobs:
            return
        try:
            spec = self.reader.read_job(change.document)
        except InvalidJobError:
            self.unreadable += 1
            return
        job = self.jobs[change.job] = JobRecord(
            change.job,
            change.queue,
            change.service,
            change.max_attempts,
            change.document,
            spec,
            self.time_s,
            change.team,
        )
        if self.observer is not None:
            self.observer.job_accepted(job)

    def _place(self, change: PlaceRun) -> None:
        task = self.task(change.task)
        can_place = (
            task is not None
            and task.step.job.phase is JobPhase.ACTIVE
            and task.phase is TaskPhase.WAITING
            and change.run > task.run
        )
        if task is None or not can_place:
            if self.observer is not None:
                self.observer.run_not_placed(change)
            return
        step = task.step
        task.phase = TaskPhase.PLACED
        task.run = change.run
        task.incarnation = change.life
        step.placed += 1
        if self.observer is not None:
            self.observer.run_placed(task)

    def _end_run(self, change: EndRun) -> None:
        task = self.task(change.task)
        if task is None or not 0 < change.run <= task.run:
            return
        # A placement isn't enough: it is committed before the executor is called, which may reject
        # the start or be out of reach.
        if change.has_begun or change.end.shows_start:
            task.step.job.has_started = True
        if change.end is RunEnd.FAILED and change.run not in task.failed_runs:
            task.failed_runs += (change.run,)
        if task.phase is TaskPhase.PLACED and task.run == change.run:
            self._end_placed(task, change)
        elif change.end is RunEnd.DONE:
            self._end_earlier_run(task, change.run)
        self._end_job_if_finished(task)

    def _end_placed(self, task: TaskRecord, change: EndRun) -> None:
        step = task.step
        step.placed -= 1
        task.phase = TaskPhase.WAITING
        if change.checkpoint:
            # The members of a gang start from one checkpoint, which may be that of any of them.
            for member in step.tasks if step.spec.is_gang else (task,):
                member.checkpoint = change.checkpoint
        # Tasks that last run again however they end.
        is_finished = change.end is RunEnd.DONE and not step.spec.is_long_running
        if is_finished:
            self._finish(task)
        if self.observer is not None:
            self.observer.run_ended(task, change.end)
        if is_finished and step.spec.is_gang:
            self._end_gang(step, change.run)

    def _end_gang(self, step: StepRecord, run: RunNumber) -> None:
        """Finish the members of a gang of which one ended `done`: that end counts for all.

        A member may wait or have been placed anew, if its run was taken for lost before.
        """
        for member in step.tasks:
            if member.phase is TaskPhase.PLACED and member.run == run:
                step.placed -= 1
                self._finish(member)
                if self.observer is not None:
                    self.observer.run_ended(member, RunEnd.DONE)
            elif member.phase is not TaskPhase.DONE:
                self._finish_early(member)

    def _end_earlier_run(self, task: TaskRecord, run: RunNumber) -> None:
        """Accept the late success of an earlier run, so that the task is not started again."""
        step = task.step
        if task.phase is TaskPhase.DONE or step.spec.is_long_running:
            return
        self._finish_early(task)
        if step.spec.is_gang:
            self._end_gang(step, run)

    def _finish_early(self, task: TaskRecord) -> None:
        """Finish a task whose success is known from another run than its latest one."""
        if task.phase is TaskPhase.PLACED:
            task.step.placed -= 1
            if self.observer is not None:
                self.observer.run_superseded(task)
        self._finish(task)
        if self.observer is not None:
            self.observer.task_done(task)

    def _finish(self, task: TaskRecord) -> None:
        if task.phase is not TaskPhase.DONE:
            task.phase = TaskPhase.DONE
            task.step.done += 1
            task.step.job.done += 1

    def _end_job_if_finished(self, task: TaskRecord) -> None:
        step = task.step
        job = step.job
        if job.phase is not JobPhase.ACTIVE:
            return
        failures = step.gang_failures if step.spec.is_gang else task.failures
        if job.done == job.spec.task_count:
            self._end_job(job, JobPhase.COMPLETED)
        elif failures >= job.max_attempts and not step.spec.is_long_running:
            self._end_job(job, JobPhase.FAILED)

    def _end_job(self, job: JobRecord, phase: JobPhase) -> None:
        job.phase = phase
        job.ended_s = self.time_s
        self.ended[job.job] = self.time_s
        if self.observer is not None:
            self.observer.job_ended(job)

    def _store_configuration(self, change: StoreConfiguration) -> None:
        if change.version <= self.version:
            return
        try:
            self.configuration = self.reader.read_configuration(change.document)
        except InvalidConfigurationError:
            self.unreadable += 1
            return
        self.document = change.document
        if self.observer is not None:
            self.observer.configuration_changed()

    def _open_wave(self, change: OpenWave) -> None:
        if change.wave in self.waves:
            return
        wave = self.waves[change.wave] = WaveRecord(
            change.wave, change.machines, self.time_s, change.duration_s, change.max_count
        )
        if self.observer is not None:
            self.observer.wave_opened(wave)

    def _track_machine_order(self, machine: MachineId) -> None:
        self.machine_orders.pop(machine, None)
        self.machine_orders[machine] = self.time_s

    def _remove_expired(self) -> None:
        while self.machine_orders:
            machine, ordered_s = next(iter(self.machine_orders.items()))
            if ordered_s + MACHINE_ORDER_RETENTION_S > self.time_s:
                break
            del self.machine_orders[machine]
        while self.ended:
            job, ended_s = next(iter(self.ended.items()))
            record = self.jobs[job]
            is_busy = any(True for _ in record.placed_tasks())
            if ended_s + JOB_RETENTION_S > self.time_s or is_busy:
                return
            del self.ended[job]
            del self.jobs[job]

    def snapshot(self) -> JobTableSnapshot:
        """Return a snapshot of the whole table."""
        return JobTableSnapshot(
            self.time_s,
            self.version,
            self.document,
            tuple(_stored_job(job) for job in self.jobs.values()),
            tuple(
                StoredWave(
                    wave.wave,
                    wave.machines,
                    tuple(wave.begun),
                    wave.opened_s,
                    wave.duration_s,
                    wave.max_count,
                    wave.is_finished,
                )
                for wave in self.waves.values()
            ),
            tuple(self.executors.values()),
            tuple(
                StoredMachineOrder(machine, ordered_s)
                for machine, ordered_s in self.machine_orders.items()
            ),
        )

    def restore(self, snapshot: Any) -> None:
        """Replace the whole table by a snapshot."""
        self.time_s = snapshot.time_s
        self.document, self.configuration, self.jobs = b"", None, {}
        if snapshot.document:
            try:
                self.configuration = self.reader.read_configuration(snapshot.document)
                self.document = snapshot.document
            except InvalidConfigurationError:
                self.unreadable += 1
        for stored in snapshot.jobs:
            try:
                self.jobs[stored.job] = self._restored_job(stored)
            except InvalidJobError:
                self.unreadable += 1
        ended = [job for job in self.jobs.values() if job.phase is not JobPhase.ACTIVE]
        ended.sort(key=lambda job: (job.ended_s, job.job))
        self.ended = {job.job: job.ended_s for job in ended}
        self.waves = {}
        for stored in snapshot.waves:
            wave = WaveRecord(
                stored.wave, stored.machines, stored.opened_s, stored.duration_s, stored.max_count
            )
            wave.begun = dict.fromkeys(stored.begun)
            wave.is_finished = stored.is_finished
            self.waves[stored.wave] = wave
        self.executors = {executor.incarnation: executor for executor in snapshot.executors}
        self.machine_orders = {order.machine: order.ordered_s for order in snapshot.machine_orders}

    def _restored_job(self, stored: StoredJob) -> JobRecord:
        job = JobRecord(
            stored.job,
            stored.queue,
            stored.service,
            stored.max_attempts,
            stored.document,
            self.reader.read_job(stored.document),
            stored.accepted_s,
            stored.team,
        )
        job.ended_s = stored.ended_s
        job.phase = stored.phase
        job.has_started = stored.has_started
        for item in stored.tasks:
            key = parse_task_name(item.task)
            step = job.step(key.occurrence, key.step)
            task = step.tasks[key.index]
            task.run = RunNumber(item.run)
            task.incarnation = item.life
            task.failed_runs = item.failed_runs
            task.checkpoint = item.checkpoint
            if item.phase is TaskPhase.DONE:
                self._finish(task)
            elif item.phase is TaskPhase.PLACED:
                task.phase = item.phase
                step.placed += 1
        return job


def _stored_job(job: JobRecord) -> StoredJob:
    return StoredJob(
        job.job,
        job.queue,
        job.service,
        job.max_attempts,
        job.document,
        job.accepted_s,
        job.ended_s,
        job.phase,
        job.has_started,
        tuple(
            StoredTask(
                task.name, task.phase, task.run, task.failed_runs, task.incarnation, task.checkpoint
            )
            for step in job.steps.values()
            for task in step.tasks
            if task.run
        ),
        job.team,
    )
