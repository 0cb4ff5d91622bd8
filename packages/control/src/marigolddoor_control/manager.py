"""The leader's control loop: evaluates every decision on the fleet and executes its actions."""

import time
from collections.abc import Callable, Hashable, Sequence

import anyio
from anyio.abc import TaskGroup
from loguru import logger
from marigolddoor_core.actions import Action, Decision, OrderTask, ProposeCommand, RebootVm
from marigolddoor_core.errors import MarigolddoorError
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.ports import Proposer
from marigolddoor_core.state.results import Refused

from marigolddoor_control.platform_client import Platform, PlatformError
from marigolddoor_control.workers import Workers

__all__ = ["Manager", "gap_after"]

ROUND_S = 1.0
# Minimum time between rounds that events request, so that a burst of events costs few rounds.
MIN_GAP_S = 0.05
# The share of a core that rounds may use. With 2,286 VMs a round without actions takes 23 ms, so
# rounds are 2.3 s apart there; urgent work has 6.2 s.
MAX_CPU_SHARE = 0.01
MAX_CONCURRENT_ACTIONS = 64
PROPOSE_TIMEOUT_S = 5.0
# Delay before a reboot that the platform refused is requested again.
PLATFORM_RETRY_S = 2.0


def gap_after(round_s: float) -> float:
    """Return the time until the next round may start, after one of `round_s` processor seconds."""
    return max(MIN_GAP_S, round_s / MAX_CPU_SHARE)


class Manager:
    """Runs the decisions while this process is the leader.

    Args:
      create_decisions: returns the decisions, called in order in each round. A new leader creates
        new ones, because the state of an earlier leadership is stale.
      current_fleet: returns the current fleet, or None while this process is not the leader.
      proposer: proposes the commands.
      workers: sends the orders to workers.
      platform: reboots VMs.
      consensus_time: returns the consensus time, on which orders expire.
    """

    def __init__(
        self,
        create_decisions: Callable[[], Sequence[Decision]],
        current_fleet: Callable[[], Fleet | None],
        proposer: Proposer,
        workers: Workers,
        platform: Platform,
        consensus_time: Callable[[], float],
    ) -> None:
        self.create_decisions = create_decisions
        self.decisions: Sequence[Decision] = ()
        self.current_fleet = current_fleet
        self.proposer = proposer
        self.workers = workers
        self.platform = platform
        self.consensus_time = consensus_time
        self.wake = anyio.Event()
        self.in_flight: set[Hashable] = set()
        self.limiter = anyio.CapacityLimiter(MAX_CONCURRENT_ACTIONS)

    def request_round(self) -> None:
        """Start the next round soon, because something changed."""
        self.wake.set()

    async def run(self) -> None:
        """Run rounds until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self.wake = anyio.Event()
                start_s = time.thread_time()
                fleet = self.current_fleet()
                if fleet is None:
                    self.decisions = ()
                else:
                    self._run_round(group, fleet)
                gap_s = gap_after(time.thread_time() - start_s)
                await anyio.sleep(gap_s)
                with anyio.move_on_after(ROUND_S - gap_s):
                    await self.wake.wait()

    def _run_round(self, group: TaskGroup, fleet: Fleet) -> None:
        if not self.decisions:
            self.decisions = self.create_decisions()
        for decision in self.decisions:
            for action in decision.decide(fleet):
                if action in self.in_flight:
                    continue
                self.in_flight.add(action)
                group.start_soon(self._execute, action, fleet)

    async def _execute(self, action: Action, fleet: Fleet) -> None:
        try:
            async with self.limiter:
                await self._dispatch(action, fleet)
        except MarigolddoorError as error:
            logger.warning("manager: {} failed; {}", type(action).__name__, error)
            await anyio.sleep(ROUND_S)
        finally:
            self.in_flight.discard(action)

    async def _dispatch(self, action: Action, fleet: Fleet) -> None:
        if isinstance(action, ProposeCommand):
            await self._propose(action)
        elif isinstance(action, OrderTask):
            await self._order(action, fleet)
        elif isinstance(action, RebootVm):
            await self._reboot(action)

    async def _propose(self, action: ProposeCommand) -> None:
        result = await self.proposer.propose(action.command, PROPOSE_TIMEOUT_S)
        if isinstance(result, Refused):
            logger.debug(
                "manager: {} was refused ({}): {}",
                type(action.command).__name__,
                result.refusal.value,
                result.detail,
            )
        self.request_round()

    async def _order(self, action: OrderTask, fleet: Fleet) -> None:
        vm = fleet.vms.get(action.vm)
        # A worker counts the lease from the receipt of the order. An order delayed by the limiter
        # or by a pause of this process would start a run that outlives its lease here.
        if vm is None or self.consensus_time() > action.send_by_s:
            return
        await self.workers.send(vm.address, action.epoch, action.order)

    async def _reboot(self, action: RebootVm) -> None:
        try:
            await self.platform.reboot(action.vm, action.request)
        except PlatformError as error:
            logger.warning("manager: the platform did not accept a call; {}", error)
            await anyio.sleep(PLATFORM_RETRY_S)
