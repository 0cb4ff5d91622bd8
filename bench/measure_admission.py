"""Measures admission in virtual time: requests on time, and goodput that a flood leaves.

One data centre of section 1.6 of the design: 5 services, each with 2 executors of 8 slots, and 3
entry processes that exchange their demand every 500 ms. Demand rotates: each service in turn asks
for five times its mean, which is more than its pool holds, and then for a twentieth. The policies
are the modules of the product; only arrivals, service times and the clock are simulated.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from marigolddoor_core.admission import (
    AdmissionPolicy,
    FifoAdmission,
    FloorAdmission,
    PeerDemands,
    PoolSlots,
    Ticket,
    TicketState,
    divide_slots,
)
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import Epoch, PoolId, ProcessId, ServiceId, TeamId, VmId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests import AttemptEnd, Priority, RequestRefusedError
from marigolddoor_core.routing import Dispatch, LeastLoaded, RoutingPolicy, TargetView, TwoChoices
from marigolddoor_core.targets import TargetState

from bench.rows import Goal, GoalKind, Row

SEEDS = (1, 2, 3, 4)
DURATION_S = 60.0
FLOOD_FROM_S = 15.0
FLOOD_UNTIL_S = 45.0
PROCESSES = 3
EXECUTORS = 2
SLOTS = 8
SERVICE_S = 0.05
# A quarter of the pool's rate on average, so a burst is 1.25 times what the pool holds.
MEAN_RATE = 0.25 * EXECUTORS * SLOTS / SERVICE_S
BURST_FACTOR = 5.0
QUIET_FACTOR = 1 / 20
BURST_S = 4.0
DEADLINES_S = (1.0, 2.0, 5.0)
EXCHANGE_S = 0.5
# Three times what the slots of all pools together can do.
FLOOD_RATE = 3 * 5 * EXECUTORS * SLOTS / SERVICE_S
NAMES = ("renewals", "planning", "intake", "settlements", "support")
SPARE = "support"


class Flood(Enum):
    """Which service is flooded."""

    NONE = ""
    LEAST_URGENT = "support"
    MOST_URGENT = "renewals"


_FLOOD_PRIORITY = {Flood.LEAST_URGENT: Priority.BATCH, Flood.MOST_URGENT: Priority.URGENT}


@dataclass(slots=True)
class _Target:
    view: TargetView
    busy: int = 0
    waiting: list[tuple["_Process", Ticket, Dispatch]] = field(default_factory=list)


@dataclass(slots=True)
class _Process:
    id: ProcessId
    admission: AdmissionPolicy
    routing: RoutingPolicy
    peers: PeerDemands = field(default_factory=PeerDemands)


@dataclass(slots=True)
class Tally:
    """What became of the requests of each service."""

    offered: Counter[str] = field(default_factory=Counter)
    admitted: Counter[str] = field(default_factory=Counter)
    on_time: Counter[str] = field(default_factory=Counter)

    def on_time_ratio(self) -> float:
        """Return the share of admitted requests that finished on time."""
        return self.on_time.total() / self.admitted.total()

    def goodput_but(self, flooded: str) -> int:
        """Return the on-time requests of the services that are not flooded."""
        return sum(count for name, count in self.on_time.items() if name != flooded)


class Simulation:
    """One run in virtual time."""

    def __init__(
        self,
        admission: Callable[[], AdmissionPolicy],
        routing: Callable[[], RoutingPolicy],
        flood: Flood,
        seed: int = SEEDS[0],
        duration_s: float = DURATION_S,
    ) -> None:
        self.flood = flood
        self.duration_s = duration_s
        # Each stream of random numbers has its own source, so that a flood doesn't change the
        # arrivals and service times of the other services.
        self.arrivals = {name: random.Random(f"{seed} {name}") for name in NAMES}
        self.flood_rng = random.Random(f"{seed} flood")
        self.service_rng = {name: random.Random(f"{seed} {name} time") for name in NAMES}
        self.rng = random.Random(seed)
        self.takes_s: dict[Ticket, float] = {}
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = itertools.count()
        self.tally = Tally()
        self.targets = {
            VmId(f"{name}-{index}"): _Target(
                TargetView(
                    VmId(f"{name}-{index}"),
                    PoolId(name),
                    "",
                    SLOTS,
                    0,
                    Epoch(1),
                    TargetState.READY,
                )
            )
            for name in NAMES
            for index in range(EXECUTORS)
        }
        self.processes = [
            _Process(ProcessId(f"p{index}"), admission(), routing()) for index in range(PROCESSES)
        ]
        for process in self.processes:
            self._configure(process)

    def run(self) -> Tally:
        """Run to the end of all admitted requests and return what became of them."""
        for name in NAMES:
            self._next_arrival(name, 0.0)
        if self.flood is not Flood.NONE:
            self._at(FLOOD_FROM_S, self._flood)
        self._at(0.0, self._exchange)
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)
        return self.tally

    def _at(self, time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time_s, next(self.order), action))

    def _configure(self, process: _Process) -> None:
        services = [
            Service(
                ServiceId(name),
                PoolId(name),
                True,
                EXECUTORS * SLOTS // (2 if name == SPARE else 1),
                rank,
            )
            for rank, name in enumerate(NAMES)
        ]
        pools = [
            Pool(PoolId(name), EXECUTORS, EXECUTORS // 2, 1, spare=name == SPARE) for name in NAMES
        ]
        teams = [Team(TeamId(f"team-{name}"), 3 * EXECUTORS * SLOTS, 1.0) for name in NAMES]
        process.admission.configure(services, pools, teams)
        for pool in pools:
            views = [t.view for t in self.targets.values() if t.view.pool == pool.id]
            process.routing.update(pool.id, views, pool.max_unavailable)

    def _factor(self, name: str, now: float) -> float:
        index = int(now / BURST_S) % len(NAMES)
        if NAMES[index] == name:
            return BURST_FACTOR
        return QUIET_FACTOR if NAMES[index - 1] == name else 1.0

    def _next_arrival(self, name: str, now: float) -> None:
        """Draw the next arrival by thinning, since the rate changes with time."""
        rng = self.arrivals[name]
        time_s = now
        while time_s < self.duration_s:
            time_s += rng.expovariate(MEAN_RATE * BURST_FACTOR)
            if rng.random() < self._factor(name, time_s) / BURST_FACTOR:
                deadline_s = rng.choice(DEADLINES_S)
                process = rng.choice(self.processes)
                self._at(time_s, partial(self._arrive, name, process, deadline_s))
                return

    def _arrive(self, name: str, process: _Process, deadline_s: float, now: float) -> None:
        self._next_arrival(name, now)
        self._offer(name, process, Priority.NORMAL, deadline_s, now)

    def _flood(self, now: float) -> None:
        if now >= FLOOD_UNTIL_S:
            return
        rng = self.flood_rng
        self._at(now + rng.expovariate(FLOOD_RATE), self._flood)
        priority = _FLOOD_PRIORITY[self.flood]
        process = rng.choice(self.processes)
        self._offer(self.flood.value, process, priority, rng.choice(DEADLINES_S), now)

    def _offer(
        self, name: str, process: _Process, priority: Priority, deadline_s: float, now: float
    ) -> None:
        ticket = Ticket(
            ServiceId(name),
            TeamId(f"team-{name}"),
            priority,
            Instant(now + deadline_s),
            Instant(now),
        )
        self.tally.offered[name] += 1
        source = self.flood_rng if name == self.flood.value else self.service_rng[name]
        self.takes_s[ticket] = source.expovariate(1 / SERVICE_S)
        try:
            changed = process.admission.offer(ticket, Instant(now))
        except RequestRefusedError:
            del self.takes_s[ticket]
            return
        self.tally.admitted[name] += 1
        if ticket.state is TicketState.RUNNING and ticket not in changed:
            self._dispatch(process, ticket, now)
        self._start(process, changed, now)

    def _start(self, process: _Process, tickets: "list[Ticket] | object", now: float) -> None:
        assert isinstance(tickets, (list, tuple))
        for ticket in tickets:
            if ticket.state is TicketState.RUNNING:
                self._dispatch(process, ticket, now)

    def _dispatch(self, process: _Process, ticket: Ticket, now: float) -> None:
        assert ticket.pool is not None
        dispatch = process.routing.choose(ticket.pool, Instant(now), self.rng)
        assert dispatch is not None
        self._run_on(self.targets[dispatch.vm], process, ticket, dispatch, now)

    def _run_on(
        self, target: _Target, process: _Process, ticket: Ticket, dispatch: Dispatch, now: float
    ) -> None:
        if target.busy >= SLOTS:
            target.waiting.append((process, ticket, dispatch))
            return
        target.busy += 1
        took_s = self.takes_s.pop(ticket)
        self._at(now + took_s, lambda at: self._finish(target, process, ticket, dispatch, at))

    def _finish(
        self, target: _Target, process: _Process, ticket: Ticket, dispatch: Dispatch, now: float
    ) -> None:
        target.busy -= 1
        if now <= ticket.deadline:
            self.tally.on_time[ticket.service] += 1
        took_s = now - ticket.started
        process.routing.finish(dispatch, AttemptEnd.ANSWERED, False, took_s, Instant(now))
        changed = process.admission.finish(ticket, True, Instant(now))
        if target.waiting:
            self._run_on(target, *target.waiting.pop(0), now)
        self._start(process, changed, now)

    def _exchange(self, now: float) -> None:
        """Let every process tell its demand, and divide the slots anew."""
        if now < self.duration_s:
            self._at(now + EXCHANGE_S, self._exchange)
        for process in self.processes:
            demand: dict[str, float] = {}
            for name in NAMES:
                load = process.admission.load(ServiceId(name))
                demand[name] = float(load.running + load.waiting)
            for peer in self.processes:
                peer.peers.report(process.id, demand, Instant(now))
        for process in self.processes:
            shares = []
            for name in NAMES:
                known = process.peers.total() if name == SPARE else process.peers.demand(name)
                total = EXECUTORS * SLOTS
                share = divide_slots(total, known)[process.id]
                shares.append(PoolSlots(PoolId(name), total, share))
            self._start(process, process.admission.set_slots(shares, Instant(now)), now)


def measure(
    admission: Callable[[], AdmissionPolicy], routing: Callable[[], RoutingPolicy]
) -> tuple[float, float]:
    """Return the share of requests on time, and the share of goodput kept in the worse flood."""
    tallies = {
        flood: [Simulation(admission, routing, flood, seed).run() for seed in SEEDS]
        for flood in Flood
    }
    kept = []
    for flood in (Flood.LEAST_URGENT, Flood.MOST_URGENT):
        calm = sum(tally.goodput_but(flood.value) for tally in tallies[Flood.NONE])
        kept.append(sum(tally.goodput_but(flood.value) for tally in tallies[flood]) / calm)
    runs = [tally for each in tallies.values() for tally in each]
    on_time = sum(tally.on_time.total() for tally in runs)
    return on_time / sum(tally.admitted.total() for tally in runs), min(kept)


def rows() -> list[Row]:
    """Return the figures of admission beside those of first-in-first-out."""
    on_time, kept = measure(FloorAdmission, TwoChoices)
    fifo_on_time, fifo_kept = measure(FifoAdmission, LeastLoaded)
    return [
        Row("on_time_ratio", on_time, "share", fifo_on_time, Goal(GoalKind.AT_LEAST, 0.999)),
        Row("flood_share_kept", kept, "share", fifo_kept, Goal(GoalKind.AT_LEAST, 0.99)),
    ]
