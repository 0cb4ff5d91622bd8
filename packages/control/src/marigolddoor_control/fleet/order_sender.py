"""Sends the orders of one leadership to executors, the platform and the adviser."""

from collections.abc import Callable, Sequence

import anyio
from loguru import logger
from marigolddoor_control.consensus_service import ConsensusService
from marigolddoor_control.fleet.ports import (
    FleetPorts,
    MachineOutcome,
    NoAnswerError,
    StartOutcome,
    StartRequest,
    WrongIncarnationError,
)
from marigolddoor_core.dispatch import (
    Advice,
    AdviceRequest,
    Dispatch,
    Executor,
    LeaseTiming,
    MachineState,
    MachineView,
    MaintenanceOrder,
    MoveOrder,
    Order,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from marigolddoor_core.dispatch.machine_maintenance import RETURN_TIMEOUT_S
from marigolddoor_core.ids import FencingToken, MachineId
from marigolddoor_core.instants import Instant
from marigolddoor_core.jobs import JobTable
from marigolddoor_core.metrics import CounterKind, Counters, Labels

__all__ = ["RETRY_S", "OrderSender"]

# Recorded for a best-effort task whose pace order got no answer. No order sets this value, so the
# next report leads to another order.
UNKNOWN_PACE = 99
RETRY_S = 0.15
# Pause after an unexpected error, which would probably occur again at once.
FAILED_ORDER_PAUSE_S = 0.5
# After this number of unanswered starts the run is stopped, so that it can be placed elsewhere.
MAX_START_ATTEMPTS = 2
# Bound on repeated stops of a run that is not placed on the executor.
MAX_STOP_ATTEMPTS = 4
# The platform limits calls to a few dozen a second over all processes.
MACHINE_RETRY_S = 0.5
# New machines, and machines moved by others, are detected within this time.
LIST_INTERVAL_S = 5.0
# During a wave the list also shows machines that returned without an executor, or were removed.
WAVE_LIST_INTERVAL_S = 2.0


class OrderSender:
    """Sends orders while this process leads, and reports their outcomes to the dispatch."""

    def __init__(
        self,
        table: JobTable,
        consensus: ConsensusService,
        ports: FleetPorts,
        lease_timing: LeaseTiming,
        machine_lease_s: float,
        token: FencingToken,
        clock: Callable[[], float],
        counters: Counters,
        remote_factor: float = 1.0,
    ) -> None:
        self.table = table
        self.consensus = consensus
        self.ports = ports
        self.token = token
        self.counters = counters
        self.clock = clock
        self.dispatch = Dispatch(
            table,
            lease_timing,
            self.now(),
            machine_lease_s,
            counters,
            remote_factor=remote_factor,
        )
        self.wake = anyio.Event()
        self.machine_states: dict[MachineId, MachineState] = {}

    def now(self) -> Instant:
        """Return the time on the clock that also counts while the VM is suspended."""
        return Instant(self.clock())

    def _count_unanswered(self, order: str) -> None:
        self.counters.add(CounterKind.ORDERS_UNANSWERED, Labels(reason=order))

    def _count_unexpected_error(self, place: str) -> None:
        self.counters.add(CounterKind.UNEXPECTED_ERRORS, Labels(reason=place))

    async def _send(self, order: Order) -> None:
        """Carry out an order; an unexpected error affects this order only.

        Otherwise the error would end the process, and the next leader would meet it again.
        """
        remaining: Order | None = order
        while remaining is not None:
            try:
                await self._carry_out(remaining)
                return
            except Exception as error:
                logger.exception("fleet: order {} failed: {}", remaining, error)
                self._count_unexpected_error("order")
            await anyio.sleep(FAILED_ORDER_PAUSE_S)
            remaining = _remaining_order(remaining)

    async def _carry_out(self, order: Order) -> None:
        if isinstance(order, StartOrder):
            await self._start(order)
        elif isinstance(order, StopOrder):
            await self._stop(order)
        elif isinstance(order, PaceOrder):
            await self._pace(order)
        elif isinstance(order, MaintenanceOrder):
            await self._begin_maintenance(order)
        elif isinstance(order, MoveOrder):
            await self._move(order)
        elif isinstance(order, AdviceRequest):
            await self._ask_adviser(order)

    async def _start(self, order: StartOrder) -> None:
        executor = order.executor
        for attempt in range(MAX_START_ATTEMPTS):
            placed = executor.runs.get(order.task)
            if executor.has_ended or placed is None or placed.run != order.run:
                return
            if not self.consensus.is_leader or placed.is_stopping:
                break
            request = StartRequest(
                order.task,
                order.run,
                order.payload,
                order.checkpoint,
                executor.extend_lease(self.now()),
                executor.fencing_token(self.token),
                order.ticket,
            )
            self.dispatch.start_sent(order, self.now())
            try:
                outcome = await self.ports.executors.start(executor, request)
            except WrongIncarnationError:
                self._end_incarnation(executor, "another incarnation answered")
                return
            except NoAnswerError as error:
                self._count_unanswered("start")
                logger.info(
                    "fleet: no answer to start of {} run {}: {}", order.task, order.run, error
                )
                self.dispatch.block(executor, self.now())
                await anyio.sleep(RETRY_S)
                continue
            self.dispatch.start_answered(order)
            if outcome is StartOutcome.STARTED:
                self.dispatch.started(order, self.now())
            elif outcome is StartOutcome.REJECTED and attempt:
                # An executor also rejects a run that has ended there, so the previous call may have
                # been carried out. After a stop the next hold reports how the run ended.
                break
            elif outcome is StartOutcome.REJECTED:
                logger.info(
                    "fleet: executor {} rejected start of {} run {}",
                    executor.incarnation,
                    order.task,
                    order.run,
                )
                self.dispatch.rejected(order, self.now())
                self.wake.set()
            else:
                logger.warning(
                    "fleet: executor {} rejected a stale fencing token", executor.incarnation
                )
            return
        await self._stop(StopOrder(executor, order.task, order.run))

    async def _stop(self, order: StopOrder) -> None:
        """Stop a run, or have a late start of it rejected; repeat while the run is known."""
        executor = order.executor
        attempts = 0
        while not executor.has_ended:
            attempts += 1
            if self.consensus.is_leader:
                try:
                    token = executor.fencing_token(self.token)
                    await self.ports.executors.stop(executor, order.task, order.run, token)
                except WrongIncarnationError:
                    self._end_incarnation(executor, "another incarnation answered")
                    return
                except NoAnswerError as error:
                    self._count_unanswered("stop")
                    logger.info("fleet: no answer to stop of {}: {}", order.task, error)
                else:
                    self.dispatch.stop_confirmed(executor, order.task, order.run, self.now())
                    return
            placed = executor.runs.get(order.task)
            is_known = placed is not None and placed.run == order.run
            if not is_known and attempts >= MAX_STOP_ATTEMPTS:
                return
            await anyio.sleep(RETRY_S)

    async def _ask_adviser(self, request: AdviceRequest) -> None:
        """Ask which executors may run a step; without an answer the dispatch asks again."""
        asked_at = self.now()
        advice: Advice | None = None
        try:
            advice = await self.ports.adviser.advise(request)
        except NoAnswerError as error:
            self._count_unanswered("advice")
            logger.info("fleet: no advice on {}: {}", request.name, error)
        finally:
            if advice is None:
                self.dispatch.advice_failed(request, self.now())
                self.wake.set()
        if advice is None:
            return
        logger.info(
            "fleet: advice on {}: {} of {} executors for {:.1f} s, after {:.2f} s",
            request.name,
            len(advice.tickets),
            len(request.executors),
            advice.validity_s,
            self.now() - asked_at,
        )
        self.dispatch.advised(request, advice, asked_at, self.now())
        self.wake.set()

    async def _pace(self, order: PaceOrder) -> None:
        """Set the pace of a best-effort task; without an answer the next report sets it again."""
        try:
            token = order.executor.fencing_token(self.token)
            await self.ports.executors.pace(
                order.executor, order.task, order.run, order.percent, token
            )
        except (NoAnswerError, WrongIncarnationError) as error:
            self._count_unanswered("pace")
            logger.info("fleet: no answer to pace of {}: {}", order.task, error)
            placed = order.executor.runs.get(order.task)
            if placed is not None and placed.run == order.run:
                placed.pace = UNKNOWN_PACE
        else:
            logger.info(
                "fleet: pace of {} run {} on {} set to {} %",
                order.task,
                order.run,
                order.executor.incarnation,
                order.percent,
            )

    async def _list_machines(self) -> None:
        """Read the platform's list of machines periodically."""
        while True:
            configuration = self.table.configuration
            if configuration is not None and self.consensus.is_leader:
                asked_at = self.now()
                try:
                    machines = await self.ports.machines.list_machines()
                except NoAnswerError as error:
                    logger.info("fleet: the list of machines can't be read: {}", error)
                else:
                    self._log_states(machines)
                    self.dispatch.apply_machine_list(machines, configuration, asked_at)
                    self.wake.set()
                    await anyio.sleep(
                        WAVE_LIST_INTERVAL_S if self.dispatch.maintenance_waves else LIST_INTERVAL_S
                    )
                    continue
            await anyio.sleep(MACHINE_RETRY_S)

    def _log_states(self, machines: Sequence[MachineView]) -> None:
        """Log the machines whose state changed. One that was not listed before counts as up."""
        states = {view.machine: view.state for view in machines}
        for machine in self.machine_states.keys() - states.keys():
            logger.info("fleet: machine {} is no longer listed", machine)
        for machine, state in states.items():
            previous = self.machine_states.get(machine, MachineState.UP)
            if state is not previous:
                logger.info("fleet: machine {} is {}, was {}", machine, state.value, previous.value)
        self.machine_states = states

    async def _move(self, order: MoveOrder) -> None:
        """Move a machine; an unanswered order is repeated until the planner cancels the move."""
        move, rebalancer = order.move, self.dispatch.rebalancer
        while self.consensus.is_leader and move.machine in rebalancer.ordered:
            try:
                outcome = await self.ports.machines.move(move.machine, move.target, self.token)
            except NoAnswerError as error:
                self._count_unanswered("move")
                logger.info("fleet: no answer to move of {}: {}", move.machine, error)
                await anyio.sleep(MACHINE_RETRY_S)
                continue
            logger.info(
                "fleet: move of {} from {} to {}: {}",
                move.machine,
                move.source,
                move.target,
                outcome.value,
            )
            if outcome is MachineOutcome.DONE:
                self.dispatch.moved(move, self.now())
                self.wake.set()
                return
            if outcome is not MachineOutcome.THROTTLED:
                rebalancer.cancel_move(move)
                return
            await anyio.sleep(MACHINE_RETRY_S)

    async def _begin_maintenance(self, order: MaintenanceOrder) -> None:
        """Hand a machine over for maintenance; repeat until the platform reports an outcome."""
        await anyio.sleep(self.dispatch.machine_wait_s(order.machine))
        # If an earlier leader has called, the executor known now may have started after that call,
        # and a repeated call does not end it.
        executor = None if order.is_repeated else self.dispatch.by_machine.get(order.machine)
        # A call without an answer may have been carried out, which takes the machine down.
        may_be_down_until = Instant(self.now() + (RETURN_TIMEOUT_S if order.is_repeated else 0.0))
        while True:
            maintenance_wave = self.dispatch.maintenance_waves.get(order.wave)
            if maintenance_wave is None or maintenance_wave.is_back(order.machine):
                return
            outcome = None
            if self.consensus.is_leader:
                try:
                    outcome = await self.ports.machines.begin_maintenance(
                        order.machine, order.wave, self.token
                    )
                except NoAnswerError as error:
                    may_be_down_until = Instant(self.now() + RETURN_TIMEOUT_S)
                    self._count_unanswered("upkeep")
                    logger.info("fleet: no answer to maintenance of {}: {}", order.machine, error)
            if outcome is MachineOutcome.DONE:
                logger.info("fleet: maintenance of {} in wave {}", order.machine, order.wave)
                self.dispatch.handed_over(order.wave, order.machine, executor, self.now())
                return
            if outcome is MachineOutcome.UNKNOWN_MACHINE:
                logger.warning("fleet: wave {}: unknown machine {}", order.wave, order.machine)
                maintenance_wave.mark_gone(order.machine)
                return
            if outcome is MachineOutcome.BUSY:
                logger.info("fleet: maintenance of {}: the machine is busy", order.machine)
                if self.now() >= may_be_down_until:
                    maintenance_wave.mark_busy(order.machine, self.now())
                    self.wake.set()
                    return
            executor = None
            await anyio.sleep(MACHINE_RETRY_S)

    def _end_incarnation(self, executor: Executor, reason: str) -> None:
        if not executor.has_ended:
            logger.info("fleet: executor {} ended: {}", executor.incarnation, reason)
            self.dispatch.end_incarnation(executor, self.now())
            self.wake.set()


def _remaining_order(order: Order) -> Order | None:
    """Return what is left to do after an order failed with an unexpected error, if anything.

    A start may have been sent, so its run is stopped. The pace and the advice are asked for again
    by later reports and rounds.
    """
    if isinstance(order, StartOrder):
        return StopOrder(order.executor, order.task, order.run)
    return None if isinstance(order, PaceOrder | AdviceRequest) else order
