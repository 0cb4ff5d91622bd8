"""The leader's loop: it looks at the fleet, calls every decision and carries out what they ask."""

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
# Rounds that events ask for are at least this far apart, so that a burst of events costs few.
MIN_GAP_S = 0.05
# The share of a core that rounds may take. With 2,286 VMs a quiet round takes 23 ms, so that rounds
# are 2.3 s apart there; urgent work has 6.2 s.
MAX_CPU_SHARE = 0.01
MAX_ACTIONS_AT_ONCE = 64
PROPOSE_TIMEOUT_S = 5.0
# A reboot that the platform refused is asked for again after this time.
PLATFORM_RETRY_S = 2.0


def gap_after(round_s: float) -> float:
    """Return the time until the next round may begin, after one of `round_s` processor seconds."""
    return max(MIN_GAP_S, round_s / MAX_CPU_SHARE)


class Manager:
    """Runs the decisions while this process leads.

    Args:
      make_decisions: returns the decisions, called in order in each round. A new leader starts with
        new ones, since what an earlier leadership remembered is out of date.
      look: returns the fleet as it is now, or None while this process does not lead.
      proposer: takes the commands.
      workers: takes the orders to workers.
      platform: reboots VMs.
      agreed_time: the agreed time now, on which orders expire.
    """

    def __init__(
        self,
        make_decisions: Callable[[], Sequence[Decision]],
        look: Callable[[], Fleet | None],
        proposer: Proposer,
        workers: Workers,
        platform: Platform,
        agreed_time: Callable[[], float],
    ) -> None:
        self.make_decisions = make_decisions
        self.decisions: Sequence[Decision] = ()
        self.look = look
        self.proposer = proposer
        self.workers = workers
        self.platform = platform
        self.agreed_time = agreed_time
        self.wake = anyio.Event()
        self.under_way: set[Hashable] = set()
        self.limiter = anyio.CapacityLimiter(MAX_ACTIONS_AT_ONCE)

    def call_round(self) -> None:
        """Ask for a round soon, because something changed."""
        self.wake.set()

    async def run(self) -> None:
        """Decide until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                self.wake = anyio.Event()
                start_s = time.thread_time()
                fleet = self.look()
                if fleet is None:
                    self.decisions = ()
                else:
                    self._round(group, fleet)
                gap_s = gap_after(time.thread_time() - start_s)
                await anyio.sleep(gap_s)
                with anyio.move_on_after(ROUND_S - gap_s):
                    await self.wake.wait()

    def _round(self, group: TaskGroup, fleet: Fleet) -> None:
        if not self.decisions:
            self.decisions = self.make_decisions()
        for decision in self.decisions:
            for action in decision.decide(fleet):
                if action in self.under_way:
                    continue
                self.under_way.add(action)
                group.start_soon(self._carry_out, action, fleet)

    async def _carry_out(self, action: Action, fleet: Fleet) -> None:
        try:
            async with self.limiter:
                await self._do(action, fleet)
        except MarigolddoorError as error:
            logger.warning("manager: {} was not done. {}", type(action).__name__, error)
            await anyio.sleep(ROUND_S)
        finally:
            self.under_way.discard(action)

    async def _do(self, action: Action, fleet: Fleet) -> None:
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
                "manager: {} was refused, {}. {}",
                type(action.command).__name__,
                result.refusal.value,
                result.detail,
            )
        self.call_round()

    async def _order(self, action: OrderTask, fleet: Fleet) -> None:
        vm = fleet.vms.get(action.vm)
        # A worker counts the lease from the receipt of the order. One that waited for the limiter,
        # or was held up with this process, would start a run that outlives its lease here.
        if vm is None or self.agreed_time() > action.send_by_s:
            return
        await self.workers.send(vm.address, action.epoch, action.order)

    async def _reboot(self, action: RebootVm) -> None:
        try:
            await self.platform.reboot(action.vm, action.request)
        except PlatformError as error:
            logger.warning("manager: the platform refused. {}", error)
            await anyio.sleep(PLATFORM_RETRY_S)
