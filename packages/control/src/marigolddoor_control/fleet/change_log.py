"""Logs committed changes: one line for each decision, with the id of its job, wave or machine."""

from collections.abc import Sequence

from loguru import logger
from marigolddoor_core.dispatch import Dispatch
from marigolddoor_core.dispatch.machines import Move
from marigolddoor_core.dispatch.rebalancing import PoolBalance, PoolRebalancer
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import (
    BeginUpkeep,
    CancelJob,
    DropExecutor,
    EndRun,
    EnrolExecutor,
    FinishWave,
    JobChange,
    JobPhase,
    JobTable,
    OrderMove,
    PlaceRun,
    parse_task_name,
)

__all__ = ["log_changes"]


def log_changes(
    changes: Sequence[JobChange], table: JobTable, dispatch: Dispatch, now: Instant
) -> None:
    """Log committed changes, and the machines that were chosen to leave.

    A line names the task or job, the outcome, and the data behind the decision with its age or
    version.
    """
    for change in changes:
        if isinstance(change, PlaceRun):
            _log_placement(change, table, dispatch, now)
        elif isinstance(change, EndRun):
            _log_end(change, table)
        elif isinstance(change, OrderMove) and change.machine in dispatch.rebalancer.ordered:
            _log_move(dispatch.rebalancer.ordered[change.machine].move, dispatch.rebalancer)
        elif isinstance(change, EnrolExecutor):
            enrolled = change.executor
            logger.info(
                "fleet: executor {} of {} on machine {}: {}",
                enrolled.incarnation,
                enrolled.service,
                enrolled.machine,
                "draining" if enrolled.is_draining else "ready",
            )
        elif isinstance(change, DropExecutor):
            logger.info("fleet: executor {}: no longer used", change.life)
        elif isinstance(change, CancelJob):
            logger.info("fleet: job {}: cancelled", change.job)
        elif isinstance(change, BeginUpkeep):
            logger.info("fleet: wave {}: maintenance of {} begins", change.wave, change.machine)
        elif isinstance(change, FinishWave):
            logger.info("fleet: wave {}: finished", change.wave)
    _log_retirements(dispatch.rebalancer)


def _log_retirements(rebalancer: PoolRebalancer) -> None:
    """Log the machines that were chosen to leave their service, or are kept after all."""
    while rebalancer.retirements:
        retirement = rebalancer.retirements.popleft()
        logger.info(
            "fleet: machine {} of {} {}: it needs {:.0f} of {:.0f} cores",
            retirement.machine,
            retirement.service,
            "is to leave" if retirement.is_leaving else "stays after all",
            retirement.balance.needed,
            retirement.balance.present,
        )


def _log_placement(change: PlaceRun, table: JobTable, dispatch: Dispatch, now: Instant) -> None:
    executor = dispatch.executors.get(change.life)
    if executor is None:
        logger.info("fleet: run {} {}: placed on {}, which has ended", *_ids(change), change.life)
        return
    contact_at = executor.contact_at
    logger.info(
        "fleet: run {} {}: placed on {}, {} mcores left, contact {:.2f} s ago, configuration {}",
        *_ids(change),
        change.life,
        executor.free_cpu,
        -1.0 if contact_at is None else now - contact_at,
        table.version,
    )


def _log_move(move: Move, rebalancer: PoolRebalancer) -> None:
    """Log a move with the core counts behind it; the standby service needs no cores."""
    source = rebalancer.balances.get(move.source, PoolBalance())
    target = rebalancer.balances.get(move.target, PoolBalance())
    logger.info(
        "fleet: move of {} ordered: {} needs {:.0f} of {:.0f} cores, {} needs {:.0f} of {:.0f}",
        move.machine,
        move.source,
        source.needed,
        source.present,
        move.target,
        target.needed,
        target.present,
    )


def _log_end(change: EndRun, table: JobTable) -> None:
    logger.info("fleet: run {} {}: {}", *_ids(change), change.end.value)
    job = table.jobs.get(parse_task_name(change.task).job)
    if job is not None and job.phase is not JobPhase.ACTIVE and job.ended_s == table.time_s:
        logger.info(
            "fleet: job {}: {} after {:.2f} s",
            job.job,
            job.phase.value,
            job.ended_s - job.accepted_s,
        )


def _ids(change: PlaceRun | EndRun) -> tuple[str, int]:
    return change.task, change.run
