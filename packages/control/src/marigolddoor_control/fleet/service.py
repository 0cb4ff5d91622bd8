"""Requests of callers, executors and operators to the control processes.

Front ends translate their protocols into calls of `FleetService`. Only the leader serves them; the
others answer with its address.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from loguru import logger
from marigolddoor_control.consensus_service import ConsensusService
from marigolddoor_control.fleet.fleet_leadership import (
    FleetLeadership,
    NotRecordedError,
    RecordingUnknownError,
)
from marigolddoor_control.fleet.team_report import RefusalReason, Refusals
from marigolddoor_core.dispatch import ExecutorState, Heartbeat
from marigolddoor_core.dispatch.quotas import quota_conflict
from marigolddoor_core.errors import UnavailableError
from marigolddoor_core.ids import ExecutorId, JobId, MachineId, TeamId, WaveId
from marigolddoor_core.input_limits import is_text
from marigolddoor_core.jobs import (
    NO_TEAM,
    AcceptJob,
    CancelJob,
    FleetConfiguration,
    InvalidJobError,
    JobPhase,
    JobRecord,
    JobSpec,
    JobTable,
    OpenWave,
    QueueSettings,
    StoreConfiguration,
)
from marigolddoor_core.line_budget import LineBudget
from marigolddoor_core.queue_calls import (
    QueueCall,
    QueueMethod,
    QueueOutcome,
    QueueReply,
)
from marigolddoor_wire.clocks import boot_time

__all__ = ["FleetService", "NotLeadingError", "WaveOrder", "WaveState"]

# Retry delay for callers refused because there is no leader: elections take 1 to 2 s.
ELECTION_RETRY_S = 1.0
# Entry processes may repeat a refusal by key for this long. A new key has to work 2.5 s after the
# acknowledgement of its configuration, and the refusal may take an attempt of 1 s to arrive.
KEY_RETRY_S = 1.0


class NotLeadingError(UnavailableError):
    """This process is not the leader. `leader` is the leader's peer address, if known."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"this process is not the leader; the leader is {leader or 'unknown'}")
        self.leader = leader


class WaveState(Enum):
    """Progress of a maintenance wave."""

    ACTIVE = "active"
    COMPLETED = "completed"


@dataclass(frozen=True, slots=True)
class WaveOrder:
    """An operator's order for a maintenance wave."""

    wave: WaveId
    machines: tuple[MachineId, ...]
    duration_s: float
    max_count: int


class FleetService:
    """Serves requests from the job table of the leader."""

    def __init__(
        self,
        table: JobTable,
        consensus: ConsensusService,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self.table = table
        self.consensus = consensus
        self.clock = clock
        self.leadership: FleetLeadership | None = None
        self.refusals = Refusals()
        self.refusal_lines = LineBudget()

    def _require_leadership(self) -> FleetLeadership:
        """Return the current leadership.

        Raises:
          NotLeadingError: another process leads, or none does.
        """
        leadership = self.leadership
        if leadership is None or leadership.has_ended or not self.consensus.is_leader:
            leader = self.consensus.leader
            raise NotLeadingError(None if leader == self.consensus.settings.address else leader)
        return leadership

    async def call_queue(self, call: QueueCall) -> QueueReply:
        """Serve a caller's request.

        Raises:
          NotLeadingError: this process is not the leader. Nothing was changed.
        """
        leadership = self._require_leadership()
        configuration = self.table.configuration
        if configuration is None:
            return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=ELECTION_RETRY_S)
        queue = configuration.find(call.host, call.path)
        name = "" if queue is None else call.path[len(queue.path_prefix) :]
        if not call.path and call.method is QueueMethod.READ:
            # Entry processes read an empty path to find out who leads.
            return QueueReply(QueueOutcome.NO_QUEUE)
        team = _team_of(configuration, queue, call)
        if team is None and not (queue is None and self._is_unowned(call)):
            self._record_refusal(call, NO_TEAM, RefusalReason.KEY)
            folder = call.path.rpartition("/")[0] + "/"
            is_for_all = bool(call.key) and configuration.needs_key_below(call.host, folder)
            return QueueReply(
                QueueOutcome.UNAUTHORIZED, retry_after_s=KEY_RETRY_S if is_for_all else 0.0
            )
        if queue is not None and call.method is QueueMethod.READ and not name:
            waiting = sum(
                1
                for job in self.table.jobs.values()
                if job.queue == queue.name
                and job.phase is JobPhase.ACTIVE
                and not leadership.dispatch.has_begun(job)
            )
            return QueueReply(QueueOutcome.ANSWERED, pending=waiting)
        # A job outlives its queue: it is known by its id, also if no queue, or a queue with another
        # prefix, has its path now. A repeated submission is acknowledged after that as well.
        job = JobId(call.path.rpartition("/")[2])
        may_be_uncommitted = queue is None or call.method is QueueMethod.CANCEL
        if job not in self.table.jobs and may_be_uncommitted:
            # The caller would be told that there is no such job, while an earlier attempt to submit
            # it is being committed.
            try:
                await leadership.settle()
            except (NotRecordedError, RecordingUnknownError) as error:
                logger.info("fleet: whether job {} is known is not certain: {}", job, error)
                return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=ELECTION_RETRY_S)
            if self.table.configuration is not configuration:
                # The key may have been withdrawn meanwhile.
                return await self.call_queue(call)
        known = self.table.jobs.get(job)
        if known is not None and not _may_know(configuration, team, queue, known):
            self._record_refusal(call, team or NO_TEAM, RefusalReason.OTHER_TEAM)
            is_submission = call.method is QueueMethod.SUBMIT
            return QueueReply(QueueOutcome.REFUSED if is_submission else QueueOutcome.NO_JOB)
        if known is not None:
            return await self._answer_existing(leadership, call, known)
        if queue is None:
            logger.info(
                "fleet: {} {}{}: no queue in configuration {}",
                call.method.value,
                call.host,
                call.path,
                configuration.version,
            )
            return QueueReply(QueueOutcome.NO_QUEUE)
        if call.method is not QueueMethod.SUBMIT:
            return QueueReply(QueueOutcome.NO_JOB)
        if not name or "/" in name or not is_text(name):
            return QueueReply(QueueOutcome.INVALID, detail="the path names no job")
        try:
            spec = self.table.reader.read_job(call.document)
        except InvalidJobError as error:
            logger.info("fleet: job {} is invalid: {}", job, error)
            self.refusals.add(team or NO_TEAM, RefusalReason.INVALID)
            return QueueReply(QueueOutcome.INVALID, detail=str(error))
        conflict = _quota_conflict(configuration, team or NO_TEAM, spec)
        if conflict:
            logger.info("fleet: job {} of team {} refused: {}", job, team, conflict)
            return await self._refuse(leadership, call, job, team or NO_TEAM, conflict)
        change = AcceptJob(
            job, queue.name, queue.service, queue.max_attempts, call.document, team or NO_TEAM
        )
        reply = await self._record(leadership, change)
        if reply.outcome is QueueOutcome.ANSWERED and self._is_foreign(change):
            self._record_refusal(call, change.team, RefusalReason.OTHER_TEAM)
            return QueueReply(QueueOutcome.REFUSED)
        logger.info(
            "fleet: job {} in {} for {}, configuration {}: {}, {} tasks, {} steps, critical path"
            " {:.1f} s",
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

    def _record_refusal(self, call: QueueCall, team: TeamId, reason: RefusalReason) -> None:
        """Count a refused call, and log its path unless there are too many of these lines."""
        self.refusals.add(team, reason)
        if self.refusal_lines.admits(self.clock()):
            logger.info(
                "fleet: {} {}{}: refused, {}",
                call.method.value,
                call.host,
                call.path,
                reason.value,
            )

    def _is_foreign(self, change: AcceptJob) -> bool:
        """Return whether a job was accepted from another team while this change was committed."""
        known = self.table.jobs.get(change.job)
        return known is not None and known.team != change.team

    def _is_unowned(self, call: QueueCall) -> bool:
        """Return whether a call without a key names a job that was submitted without one.

        Such a job stays known to its callers after its public queue was removed.
        """
        if call.key:
            return False
        known = self.table.jobs.get(JobId(call.path.rpartition("/")[2]))
        return known is not None and not known.team

    async def _answer_existing(
        self, leadership: FleetLeadership, call: QueueCall, job: JobRecord
    ) -> QueueReply:
        if call.method is QueueMethod.READ:
            has_begun = leadership.dispatch.has_begun(job)
            return QueueReply(QueueOutcome.ANSWERED, phase=job.phase.value, has_started=has_begun)
        if call.method is QueueMethod.SUBMIT or job.phase is not JobPhase.ACTIVE:
            return QueueReply(QueueOutcome.ANSWERED)
        return await self._record(leadership, CancelJob(job.job))

    async def _refuse(
        self, leadership: FleetLeadership, call: QueueCall, job: JobId, team: TeamId, reason: str
    ) -> QueueReply:
        """Refuse a submission, unless an earlier one of the same job is being committed.

        That one may have come before the quota was lowered, and the job would run after a refusal.
        """
        try:
            await leadership.settle()
        except (NotRecordedError, RecordingUnknownError) as error:
            logger.info("fleet: whether job {} is known is not certain: {}", job, error)
            return QueueReply(QueueOutcome.UNKNOWN)
        known = self.table.jobs.get(job)
        if known is not None and known.team == team:
            return await self._answer_existing(leadership, call, known)
        self.refusals.add(team, RefusalReason.QUOTA)
        return QueueReply(QueueOutcome.REFUSED, detail=reason)

    async def _record(
        self, leadership: FleetLeadership, change: AcceptJob | CancelJob
    ) -> QueueReply:
        try:
            await leadership.record(change)
        except NotRecordedError as error:
            logger.info("fleet: job {} was not committed: {}", change.job, error)
            return QueueReply(QueueOutcome.UNAVAILABLE, retry_after_s=ELECTION_RETRY_S)
        except RecordingUnknownError as error:
            logger.info("fleet: job {} may have been committed: {}", change.job, error)
            return QueueReply(QueueOutcome.UNKNOWN)
        return QueueReply(QueueOutcome.ANSWERED)

    async def heartbeat(self, heartbeat: Heartbeat) -> None:
        """Process a heartbeat. A change to draining is committed before this returns.

        An executor that would displace others is used after it has answered a call.

        Raises:
          NotLeadingError: this process is not the leader.
          NotRecordedError: the change to draining was not committed.
          RecordingUnknownError: it may have been committed.
        """
        leadership = self._require_leadership()
        known = leadership.dispatch.executors.get(heartbeat.incarnation)
        if known is not None and not known.heartbeat.is_same_executor(heartbeat):
            logger.info(
                "fleet: heartbeat of {} refused: it contradicts an earlier one",
                heartbeat.incarnation,
            )
            return
        if leadership.dispatch.displaced_by(heartbeat):
            leadership.identify(heartbeat)
            return
        was_ready = known is not None and known.heartbeat.state is ExecutorState.READY
        executor = leadership.dispatch.receive_heartbeat(heartbeat, leadership.now())
        if executor is not None:
            leadership.watch(executor)
        elif was_ready and heartbeat.state is ExecutorState.DRAINING:
            logger.info(
                "fleet: executor {} is draining, {:.1f} s left",
                heartbeat.incarnation,
                heartbeat.remaining_s,
            )
            await leadership.flush()
        leadership.wake.set()

    def deregister(self, executor: ExecutorId) -> None:
        """Process the deregistration of an executor that is about to exit.

        Raises:
          NotLeadingError: this process is not the leader.
        """
        leadership = self._require_leadership()
        known = leadership.dispatch.current.get(executor)
        if known is not None:
            leadership.deregister(known)

    async def replace_configuration(self, document: bytes) -> None:
        """Put a configuration into force unless the one in force has the same or a higher version.

        Raises:
          NotLeadingError: this process is not the leader.
          InvalidConfigurationError: it can't be read in full or contradicts itself.
          NotRecordedError: it is not in force and never will be.
          RecordingUnknownError: it may be in force.
        """
        leadership = self._require_leadership()
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
          NotLeadingError: this process is not the leader.
        """
        self._require_leadership()
        return self.table.document or None

    async def open_wave(self, order: WaveOrder) -> None:
        """Begin a maintenance wave; a repeated order changes nothing.

        Raises:
          NotLeadingError: this process is not the leader.
          NotRecordedError: the order was not committed.
          RecordingUnknownError: it may have been committed.
        """
        leadership = self._require_leadership()
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
        """Return the progress of a wave; None if it does not exist.

        Raises:
          NotLeadingError: this process is not the leader.
        """
        self._require_leadership()
        record = self.table.waves.get(wave)
        if record is None:
            return None
        return WaveState.COMPLETED if record.is_finished else WaveState.ACTIVE


def _team_of(
    configuration: FleetConfiguration, queue: QueueSettings | None, call: QueueCall
) -> TeamId | None:
    """Return the team of a call, `NO_TEAM` if it needs none, or None if it is not authorised."""
    if configuration.teams is None:
        return NO_TEAM
    team = configuration.team_of_key(call.key)
    if team is None and queue is not None and queue.is_public:
        return NO_TEAM
    return team


def _quota_conflict(configuration: FleetConfiguration, team: TeamId, spec: JobSpec) -> str:
    """Return why a job can never fit the quota of its team; empty if it can."""
    settings = configuration.team_by_name.get(team)
    return "" if settings is None else quota_conflict(spec, settings.quota)


def _may_know(
    configuration: FleetConfiguration,
    team: TeamId | None,
    queue: QueueSettings | None,
    job: JobRecord,
) -> bool:
    """Return whether a caller may learn of a job: not if another team submitted it."""
    if configuration.teams is None or not job.team or job.team == team:
        return True
    # A caller without a key may ask a public queue for any of its jobs.
    return not team and queue is not None and queue.name == job.queue
