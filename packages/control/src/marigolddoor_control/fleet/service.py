"""What callers, executors and operators may ask of the control processes.

Front ends translate their protocols into calls of `FleetService`. Only the leader answers; the
others name it.
"""

from dataclasses import dataclass
from enum import Enum

from loguru import logger
from marigolddoor_control.agreement import Agreement
from marigolddoor_control.fleet.fleet_leadership import (
    FleetLeadership,
    NotRecordedError,
    RecordingUnknownError,
)
from marigolddoor_core.dispatch import ExecutorState, Heartbeat
from marigolddoor_core.errors import UnavailableError
from marigolddoor_core.ids import ExecutorId, JobId, MachineId, WaveId
from marigolddoor_core.jobs import (
    AcceptJob,
    CancelJob,
    InvalidJobError,
    JobPhase,
    JobRecord,
    JobTable,
    OpenWave,
    StoreConfiguration,
)
from marigolddoor_core.queue_calls import (
    QueueCall,
    QueueMethod,
    QueueOutcome,
    QueueReply,
)

__all__ = ["FleetService", "NotLeadingError", "WaveOrder", "WaveState"]

# When a caller may come back after a refusal for want of a leader: elections take 1 to 2 s.
ELECTION_RETRY_S = 1.0


class NotLeadingError(UnavailableError):
    """This process does not lead. `leader` is the peer address of the one that does, if known."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"this process does not lead; {leader or 'no other'} does")
        self.leader = leader


class WaveState(Enum):
    """How far a wave of upkeep got."""

    ACTIVE = "active"
    COMPLETED = "completed"


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """An operator's order for a wave of upkeep."""

    wave: WaveId
    machines: tuple[MachineId, ...]
    duration_s: float
    max_count: int


class FleetService:
    """Answers on the leader's table."""

    def __init__(self, table: JobTable, agreement: Agreement) -> None:
        self.table = table
        self.agreement = agreement
        self.leadership: FleetLeadership | None = None

    def _leading(self) -> FleetLeadership:
        """Return the leadership.

        Raises:
          NotLeadingError: another process leads, or nobody does.
        """
        leadership = self.leadership
        if leadership is None or leadership.is_over or not self.agreement.is_leader:
            leader = self.agreement.leader
            raise NotLeadingError(None if leader == self.agreement.settings.address else leader)
        return leadership

    # Callers.

    async def call_queue(self, call: QueueCall) -> QueueReply:
        """Answer a caller's request.

        Raises:
          NotLeadingError: another process has to be asked. Nothing was done.
        """
        leadership = self._leading()
        configuration = self.table.configuration
        if configuration is None:
            return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=ELECTION_RETRY_S)
        queue = configuration.find(call.host, call.path)
        if queue is None:
            known = self._known(call)
            if known is None:
                return QueueReply(QueueOutcome.NO_QUEUE)
            # A job outlives its queue: its state can be read and it can be cancelled.
            return await self._answer_known(leadership, call, known)
        name = call.path[len(queue.path_prefix) :]
        if call.method is QueueMethod.READ and not name:
            waiting = sum(
                1
                for job in self.table.jobs.values()
                if job.queue == queue.name and job.phase is JobPhase.ACTIVE and not job.has_started
            )
            return QueueReply(QueueOutcome.ANSWERED, pending=waiting)
        job = JobId(name)
        known = self.table.jobs.get(job)
        if call.method is not QueueMethod.SUBMIT:
            if known is None:
                return QueueReply(QueueOutcome.NO_JOB)
            return await self._answer_known(leadership, call, known)
        if known is not None:
            return QueueReply(QueueOutcome.ANSWERED)
        if not name or "/" in name:
            return QueueReply(QueueOutcome.INVALID, detail="the path names no job")
        try:
            spec = self.table.reader.read_job(call.document)
        except InvalidJobError as error:
            logger.info("fleet: job {} is invalid: {}", job, error)
            return QueueReply(QueueOutcome.INVALID, detail=str(error))
        change = AcceptJob(job, queue.name, queue.service, queue.max_attempts, call.document)
        reply = await self._record(leadership, change)
        logger.info(
            "fleet: job {} in {} for {}, configuration {}: {}, {} tasks, {} steps, chain {:.1f} s",
            job,
            queue.name,
            queue.service,
            configuration.version,
            reply.outcome.value,
            spec.task_count,
            len(spec.steps),
            spec.critical_path_s(),
        )
        return reply

    def _known(self, call: QueueCall) -> JobRecord | None:
        if call.method is QueueMethod.SUBMIT:
            return None
        return self.table.jobs.get(JobId(call.path.rpartition("/")[2]))

    async def _answer_known(
        self, leadership: FleetLeadership, call: QueueCall, job: JobRecord
    ) -> QueueReply:
        if call.method is QueueMethod.READ:
            return QueueReply(
                QueueOutcome.ANSWERED, phase=job.phase.value, has_started=job.has_started
            )
        if job.phase is not JobPhase.ACTIVE:
            return QueueReply(QueueOutcome.ANSWERED)
        return await self._record(leadership, CancelJob(job.job))

    async def _record(
        self, leadership: FleetLeadership, change: AcceptJob | CancelJob
    ) -> QueueReply:
        try:
            await leadership.record(change)
        except NotRecordedError as error:
            logger.info("fleet: {} was not recorded: {}", change.job, error)
            return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=ELECTION_RETRY_S)
        except RecordingUnknownError as error:
            logger.info("fleet: {} may have been recorded: {}", change.job, error)
            return QueueReply(QueueOutcome.UNKNOWN)
        return QueueReply(QueueOutcome.ANSWERED)

    # Executors.

    async def heartbeat(self, heartbeat: Heartbeat) -> None:
        """Take an executor's report of itself. That it drains is recorded before this returns.

        Raises:
          NotLeadingError: another process has to be told.
          NotRecordedError: it was not recorded that the executor drains.
          RecordingUnknownError: it may have been recorded.
        """
        leadership = self._leading()
        known = leadership.dispatch.executors.get(heartbeat.life)
        was_ready = known is not None and known.heartbeat.state is ExecutorState.READY
        executor = leadership.dispatch.heard(heartbeat, leadership.now())
        if executor is not None:
            leadership.watch(executor)
        elif was_ready and heartbeat.state is ExecutorState.DRAINING:
            logger.info(
                "fleet: {} drains, {:.1f} s are left", heartbeat.life, heartbeat.remaining_s
            )
            await leadership.flush()
        leadership.wake.set()

    def deregister(self, executor: ExecutorId) -> None:
        """Take an executor's word that it ends.

        Raises:
          NotLeadingError: another process has to be told.
        """
        leadership = self._leading()
        known = leadership.dispatch.current.get(executor)
        if known is not None:
            leadership.leave(known)

    # Operators.

    async def replace_configuration(self, document: bytes) -> None:
        """Put a configuration into force unless one with the same or a higher version is.

        Raises:
          NotLeadingError: another process has to be asked.
          InvalidConfigurationError: it can't be read in full or contradicts itself.
          NotRecordedError: it is not in force and never will be.
          RecordingUnknownError: it may be in force.
        """
        leadership = self._leading()
        configuration = self.table.reader.read_configuration(document)
        if configuration.version > self.table.version:
            await leadership.record(StoreConfiguration(configuration.version, document))
        logger.info(
            "fleet: configuration {} acknowledged, {} is in force",
            configuration.version,
            self.table.version,
        )

    def read_configuration(self) -> bytes | None:
        """Return the document in force; None before the first one.

        Raises:
          NotLeadingError: another process has to be asked.
        """
        self._leading()
        return self.table.document or None

    async def open_wave(self, order: WaveOrder) -> None:
        """Begin a wave of upkeep; a repeated order changes nothing.

        Raises:
          NotLeadingError: another process has to be asked.
          NotRecordedError: it was not recorded.
          RecordingUnknownError: it may have been recorded.
        """
        leadership = self._leading()
        if order.wave not in self.table.waves:
            await leadership.record(
                OpenWave(order.wave, order.machines, order.duration_s, order.max_count)
            )
            logger.info(
                "fleet: wave {} of {} machines, {} at a time, within {} s",
                order.wave,
                len(order.machines),
                order.max_count,
                order.duration_s,
            )

    def wave_state(self, wave: WaveId) -> WaveState | None:
        """Return how far a wave got; None if there is none.

        Raises:
          NotLeadingError: another process has to be asked.
        """
        self._leading()
        record = self.table.waves.get(wave)
        if record is None:
            return None
        return WaveState.COMPLETED if record.is_finished else WaveState.ACTIVE
