"""Measures admission in virtual time: requests on time, and goodput during a flood.

One data centre of section 1.6 of the design: 5 services, each with 2 executors of 8 slots, and 3
entry processes that exchange their demand every 500 ms. Demand rotates: each service in turn asks
for five times its mean, which exceeds the capacity of its pool, and then for a twentieth. The
policies are production code; only arrivals, service times and the clock are simulated.
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
EXECUTORS_PER_SERVICE = 2
SLOTS = 8
MEAN_SERVICE_TIME_S = 0.05
# A quarter of the pool's rate on average, so a burst is 1.25 times the capacity of the pool.
MEAN_RATE = 0.25 * EXECUTORS_PER_SERVICE * SLOTS / MEAN_SERVICE_TIME_S
BURST_FACTOR = 5.0
QUIET_FACTOR = 1 / 20
BURST_S = 4.0
DEADLINES_S = (1.0, 2.0, 5.0)
EXCHANGE_INTERVAL_S = 0.5
# Three times the rate that the slots of all pools together can serve.
FLOOD_RATE = 3 * 5 * EXECUTORS_PER_SERVICE * SLOTS / MEAN_SERVICE_TIME_S
SERVICES = ("renewals", "planning", "intake", "settlements", "support")
SPARE = "support"


class Flood(Enum):
    """The service that is flooded, if any."""

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
    """Counts of the requests of each service by outcome."""

    offered: Counter[str] = field(default_factory=Counter)
    admitted: Counter[str] = field(default_factory=Counter)
    on_time: Counter[str] = field(default_factory=Counter)

    def on_time_ratio(self) -> float:
        """Return the share of admitted requests that finished on time."""
        return self.on_time.total() / self.admitted.total()

    def goodput_without(self, flooded: str) -> int:
        """Return the on-time requests of the services except `flooded`."""
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
        self.arrivals = {name: random.Random(f"{seed} {name}") for name in SERVICES}
        self.flood_rng = random.Random(f"{seed} flood")
        self.service_rng = {name: random.Random(f"{seed} {name} time") for name in SERVICES}
        self.rng = random.Random(seed)
        self.service_time_s: dict[Ticket, float] = {}
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.sequence = itertools.count()
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
            for name in SERVICES
            for index in range(EXECUTORS_PER_SERVICE)
        }
        self.processes = [
            _Process(ProcessId(f"p{index}"), admission(), routing()) for index in range(PROCESSES)
        ]
        for process in self.processes:
            self._configure(process)

    def run(self) -> Tally:
        """Run until all admitted requests have ended; return their counts."""
        for name in SERVICES:
            self._next_arrival(name, 0.0)
        if self.flood is not Flood.NONE:
            self._schedule_at(FLOOD_FROM_S, self._flood)
        self._schedule_at(0.0, self._exchange)
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)
        return self.tally

    def _schedule_at(self, time_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (time_s, next(self.sequence), action))

    def _configure(self, process: _Process) -> None:
        services = [
            Service(
                ServiceId(name),
                PoolId(name),
                True,
                EXECUTORS_PER_SERVICE * SLOTS // (2 if name == SPARE else 1),
                rank,
            )
            for rank, name in enumerate(SERVICES)
        ]
        pools = [
            Pool(
                PoolId(name),
                EXECUTORS_PER_SERVICE,
                EXECUTORS_PER_SERVICE // 2,
                1,
                spare=name == SPARE,
            )
            for name in SERVICES
        ]
        teams = [
            Team(TeamId(f"team-{name}"), 3 * EXECUTORS_PER_SERVICE * SLOTS, 1.0)
            for name in SERVICES
        ]
        process.admission.configure(services, pools, teams)
        for pool in pools:
            views = [t.view for t in self.targets.values() if t.view.pool == pool.id]
            process.routing.update(pool.id, views, pool.max_unavailable)

    def _rate_factor(self, name: str, now: float) -> float:
        index = int(now / BURST_S) % len(SERVICES)
        if SERVICES[index] == name:
            return BURST_FACTOR
        return QUIET_FACTOR if SERVICES[index - 1] == name else 1.0

    def _next_arrival(self, name: str, now: float) -> None:
        """Draw the next arrival by thinning, since the rate changes with time."""
        rng = self.arrivals[name]
        time_s = now
        while time_s < self.duration_s:
            time_s += rng.expovariate(MEAN_RATE * BURST_FACTOR)
            if rng.random() < self._rate_factor(name, time_s) / BURST_FACTOR:
                deadline_s = rng.choice(DEADLINES_S)
                process = rng.choice(self.processes)
                self._schedule_at(time_s, partial(self._arrive, name, process, deadline_s))
                return

    def _arrive(self, name: str, process: _Process, deadline_s: float, now: float) -> None:
        self._next_arrival(name, now)
        self._offer(name, process, Priority.NORMAL, deadline_s, now)

    def _flood(self, now: float) -> None:
        if now >= FLOOD_UNTIL_S:
            return
        rng = self.flood_rng
        self._schedule_at(now + rng.expovariate(FLOOD_RATE), self._flood)
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
        self.service_time_s[ticket] = source.expovariate(1 / MEAN_SERVICE_TIME_S)
        try:
            changed = process.admission.offer(ticket, Instant(now))
        except RequestRefusedError:
            del self.service_time_s[ticket]
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
        took_s = self.service_time_s.pop(ticket)
        self._schedule_at(
            now + took_s, lambda at: self._finish(target, process, ticket, dispatch, at)
        )

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
        """Report the demand of every process to the others, and divide the slots again."""
        if now < self.duration_s:
            self._schedule_at(now + EXCHANGE_INTERVAL_S, self._exchange)
        for process in self.processes:
            demand: dict[str, float] = {}
            for name in SERVICES:
                load = process.admission.load(ServiceId(name))
                demand[name] = float(load.running + load.waiting)
            for peer in self.processes:
                peer.peers.report(process.id, demand, Instant(now))
        for process in self.processes:
            shares = []
            for name in SERVICES:
                demands = process.peers.total() if name == SPARE else process.peers.demand(name)
                total = EXECUTORS_PER_SERVICE * SLOTS
                share = divide_slots(total, demands)[process.id]
                shares.append(PoolSlots(PoolId(name), total, share))
            self._start(process, process.admission.set_slots(shares, Instant(now)), now)


def measure(
    admission: Callable[[], AdmissionPolicy], routing: Callable[[], RoutingPolicy]
) -> tuple[float, float]:
    """Return the share of requests on time, and the share of goodput left in the worse flood."""
    tallies = {
        flood: [Simulation(admission, routing, flood, seed).run() for seed in SEEDS]
        for flood in Flood
    }
    goodput_shares = []
    for flood in (Flood.LEAST_URGENT, Flood.MOST_URGENT):
        unflooded = sum(tally.goodput_without(flood.value) for tally in tallies[Flood.NONE])
        goodput_shares.append(
            sum(tally.goodput_without(flood.value) for tally in tallies[flood]) / unflooded
        )
    runs = [tally for each in tallies.values() for tally in each]
    on_time = sum(tally.on_time.total() for tally in runs)
    return on_time / sum(tally.admitted.total() for tally in runs), min(goodput_shares)


def rows() -> list[Row]:
    """Measure admission, with first-in-first-out as the baseline."""
    on_time, goodput_share = measure(FloorAdmission, TwoChoices)
    fifo_on_time, fifo_goodput_share = measure(FifoAdmission, LeastLoaded)
    return [
        Row("on_time_ratio", on_time, "share", fifo_on_time, Goal(GoalKind.AT_LEAST, 0.999)),
        Row(
            "flood_share_kept",
            goodput_share,
            "share",
            fifo_goodput_share,
            Goal(GoalKind.AT_LEAST, 0.99),
        ),
    ]
