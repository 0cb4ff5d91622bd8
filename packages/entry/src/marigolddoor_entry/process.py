"""The entry process: its listeners, timers and shared state."""

import random
import socket
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup, TaskStatus
from loguru import logger
from marigolddoor_core.admission import FloorAdmission, PeerDemands, PoolSlots, divide_slots
from marigolddoor_core.ids import LogIndex, PoolId, ProcessId, Revision
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.catalogue import Catalogue
from marigolddoor_core.routing import TwoChoices
from marigolddoor_core.routing.policies import TargetView
from marigolddoor_core.state.objects import Change
from marigolddoor_core.targets import TargetState
from marigolddoor_wire.http_listener import bound_address, http_config, listen, serve_http
from marigolddoor_wire.messages import ReportDemand, ServiceDemand, ShareReport
from marigolddoor_wire.peers import Address

from marigolddoor_entry.application import Application, ListenerKind
from marigolddoor_entry.callers import CallersService
from marigolddoor_entry.claimant import Claimant
from marigolddoor_entry.demand import DemandReporter
from marigolddoor_entry.dispatcher import Dispatcher
from marigolddoor_entry.ports import EntryPorts
from marigolddoor_entry.settings import EntrySettings

__all__ = ["BoundAddresses", "EntryProcess"]

EXCHANGE_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 1.0
SUSPECT_INTERVAL_S = 0.25
KEEP_ALIVE_S = 75.0


@dataclass(frozen=True, slots=True)
class BoundAddresses:
    """The addresses on which an entry process listens, with the ports in use."""

    callers: Address
    targets: Address


class EntryProcess:
    """Serves callers and targets until it is stopped."""

    def __init__(
        self, settings: EntrySettings, ports: EntryPorts, rng: random.Random | None = None
    ) -> None:
        self.settings = settings
        self.ports = ports
        self.rng = rng if rng is not None else random.Random()
        self.clock = time.monotonic
        self.catalogue = Catalogue()
        self.admission = FloorAdmission()
        self.routing = TwoChoices()
        self.dispatcher = Dispatcher(settings.limits.answer_bytes)
        self.peers = PeerDemands()
        self.callers: CallersService | None = None
        self.stop_requested = anyio.Event()
        self.close_listeners = anyio.Event()
        self.slots: dict[PoolId, int] = {}
        # The budget and the targets that routing has for each pool.
        self.routed: dict[PoolId, tuple[int, list[TargetView]]] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self.catalogue.revision

    @property
    def index(self) -> LogIndex:
        """Return the index up to which changes are in force."""
        return self.catalogue.index

    def apply_changes(self, index: LogIndex, changes: Iterable[Change], snapshot: bool) -> bool:
        """Put changes into force at once; return False if they were outdated and ignored."""
        if not self.catalogue.apply(index, changes, snapshot):
            return False
        catalogue = self.catalogue
        self.admission.configure(
            catalogue.services.values(), catalogue.pools.values(), catalogue.teams.values()
        )
        data_centre = self.settings.data_centre
        self.ports.holder.assign(
            [record for record in catalogue.vms.values() if record.data_centre == data_centre]
        )
        # Budgets and pools may have changed, so every pool is updated.
        used_pools = {view.pool for view in self.ports.directory.targets()}
        self.slots = {pool: slots for pool, slots in self.slots.items() if pool in used_pools}
        self._update_pools(used_pools | set(catalogue.pools))
        return True

    def targets_changed(self) -> None:
        """Update the pools whose targets changed; called after each change of the directory."""
        self._update_pools(self.ports.directory.pop_changed_pools())

    def _update_pools(self, pools: Iterable[PoolId]) -> None:
        """Update the targets of `pools`; the cost doesn't depend on the number of other pools."""
        changed = False
        for pool_id in pools:
            pool = self.catalogue.pools.get(pool_id)
            views = self.ports.directory.targets_of(pool_id)
            self.routing.update(pool_id, views, pool.max_unavailable if pool else 0)
            slots = sum(view.slots for view in views if view.state is TargetState.READY)
            changed = changed or self.slots.get(pool_id) != slots
            self.slots[pool_id] = slots
        if changed:
            self._divide_slots()

    def receive_peer_demand(self, report: ShareReport) -> None:
        """Apply the demand of another entry process of the data centre."""
        if report.process != self.settings.process:
            self._track_demand(report.process, report.demand)
            self._divide_slots()

    def request_stop(self) -> None:
        """Begin a graceful stop; `run` returns when the last request has its answer."""
        self.stop_requested.set()

    async def run(
        self, *, task_status: TaskStatus[BoundAddresses] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `request_stop`; report the addresses once both listeners accept connections.

        Raises:
          OSError: an address can't be bound.
        """
        settings = self.settings
        callers_socket = listen(settings.callers)
        targets_socket = listen(settings.targets) if settings.targets else None
        async with anyio.create_task_group() as group:
            callers = self._create_callers(group)
            kind = ListenerKind.CALLERS if targets_socket else ListenerKind.BOTH
            async with anyio.create_task_group() as listeners:
                listeners.start_soon(self._serve, kind, callers, callers_socket)
                if targets_socket is not None:
                    listeners.start_soon(self._serve, ListenerKind.TARGETS, callers, targets_socket)
                group.start_soon(self._exchange_demand)
                group.start_soon(self._report_demand)
                group.start_soon(self._mark_suspected)
                bound = bound_address(callers_socket)
                task_status.started(
                    BoundAddresses(
                        bound, bound_address(targets_socket) if targets_socket else bound
                    )
                )
                logger.info("entry: serving callers on {}", bound)
                await self.stop_requested.wait()
                logger.info("entry: stopping, {} requests in progress", callers.active)
                await anyio.sleep(settings.drain_s)
                self.close_listeners.set()
            with anyio.move_on_after(settings.stop_timeout_s):
                await callers.wait_idle()
                # A claim whose answer is not committed gives resends an unknown outcome.
                await callers.claimant.wait_committed()
            await self.dispatcher.close()
            group.cancel_scope.cancel()
        logger.info("entry: stopped")

    def _create_callers(self, group: TaskGroup) -> CallersService:
        ports = self.ports
        self.callers = CallersService(
            catalogue=self.catalogue,
            admission=self.admission,
            routing=self.routing,
            dispatcher=self.dispatcher,
            claimant=Claimant(self.settings.process, ports.proposer, group),
            ports=ports,
            group=group,
            clock=self.clock,
            rng=self.rng,
            limits=self.settings.limits,
        )
        return self.callers

    async def _serve(
        self, kind: ListenerKind, callers: CallersService, listener: socket.socket
    ) -> None:
        application = Application(
            kind=kind,
            callers=callers,
            holder=self.ports.holder,
            targets_changed=self.targets_changed,
            is_ready=self._is_ready,
            is_stopping=self.stop_requested.is_set,
            clock=self.clock,
            metrics_page=self.ports.metrics_page,
        )
        config = http_config(self.settings.stop_timeout_s, KEEP_ALIVE_S)
        config.keep_alive_max_requests = 1_000_000
        # A full queue would block the connection's reader and hide that the caller disconnected.
        config.max_app_queue_size = 0
        await serve_http(application, listener, config, self.close_listeners.wait)

    def _is_ready(self) -> bool:
        return bool(self.catalogue.services) and not self.stop_requested.is_set()

    def _track_demand(self, process: ProcessId, demand: Sequence[ServiceDemand]) -> None:
        slots: dict[str, float] = {}
        for service in demand:
            declared = self.catalogue.services.get(service.service)
            if declared is not None:
                requested = service.slot_seconds / EXCHANGE_INTERVAL_S + service.queued
                slots[declared.pool] = slots.get(declared.pool, 0.0) + requested
        self.peers.report(process, slots, Instant(self.clock()))

    def _divide_slots(self) -> None:
        now = Instant(self.clock())
        own = self.settings.process
        shares = []
        total_demand = self.peers.total()
        for pool_id, slots in self.slots.items():
            pool = self.catalogue.pools.get(pool_id)
            # A spare pool serves the bursts of every service.
            demand = total_demand if pool and pool.spare else self.peers.demand(pool_id)
            demand.setdefault(own, 0.0)
            shares.append(PoolSlots(pool_id, slots, divide_slots(slots, demand)[own]))
        changed = self.admission.set_slots(shares, now)
        if self.callers is not None:
            self.callers.wake(changed)

    async def _exchange_demand(self) -> None:
        reporter = DemandReporter()
        while True:
            await anyio.sleep(EXCHANGE_INTERVAL_S)
            assert self.callers is not None
            now = Instant(self.clock())
            demand = reporter.report(self.callers.meters, now)
            self._track_demand(self.settings.process, demand)
            self.peers.forget_stale(now)
            self._divide_slots()
            self.callers.claimant.tracker.remove_expired(now)
            await self.dispatcher.close_idle(now)
            # A service that is left out has no demand; most of 182 are idle at any moment.
            busy = tuple(part for part in demand if part.slot_seconds > 0 or part.queued > 0)
            await self.ports.exchange_demand(ShareReport(self.settings.process, busy))

    async def _report_demand(self) -> None:
        reporter = DemandReporter()
        last = self.clock()
        while True:
            await anyio.sleep(REPORT_INTERVAL_S)
            assert self.callers is not None
            now = self.clock()
            demand = reporter.report(self.callers.meters, Instant(now))
            settings = self.settings
            report = ReportDemand(settings.process, settings.data_centre, now - last, demand)
            last = now
            await self.ports.report_demand(report)

    async def _mark_suspected(self) -> None:
        while True:
            await anyio.sleep(SUSPECT_INTERVAL_S)
            if self.ports.holder.suspect(Instant(self.clock())):
                self.targets_changed()
