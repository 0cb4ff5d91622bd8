"""Guards against floods that starve other services, late answers and unbounded queues."""

import random
from dataclasses import replace
from typing import Any

import testtools
from marigolddoor_core.admission import (
    FifoAdmission,
    FloorAdmission,
    PeerDemands,
    PoolSlots,
    Ticket,
    TicketState,
    divide_slots,
)
from marigolddoor_core.admission.floors import QUEUE_PER_SLOT
from marigolddoor_core.admission.limits import MIN_WINDOW, AdaptiveLimit
from marigolddoor_core.admission.queues import ServiceQueue
from marigolddoor_core.admission.rates import ServiceTime
from marigolddoor_core.admission.shares import STALE_AFTER_S
from marigolddoor_core.declaration.organisation import Pool, Service, Team
from marigolddoor_core.ids import PoolId, ProcessId, ServiceId, TeamId
from marigolddoor_core.instants import Instant
from marigolddoor_core.requests.contract import Priority
from marigolddoor_core.requests.refusals import (
    CannotFinishInTimeError,
    NoTargetError,
    QueueFullError,
    QuotaExceededError,
    RequestRefusedError,
    UnknownServiceError,
)

MAIN, SPARE = PoolId("main"), PoolId("spare")
URGENT, PLAIN, SUPPORT = ServiceId("urgent"), ServiceId("plain"), ServiceId("support")
TEAM = TeamId("team")
NOW = Instant(50.0)


def configured_admission(team_slots: int = 100) -> FloorAdmission:
    """Return admission with two services in a pool of 8 slots and one in a spare pool of 8."""
    admission = FloorAdmission()
    admission.configure(
        [
            Service(URGENT, MAIN, True, 3, rank=0),
            Service(PLAIN, MAIN, True, 3, rank=1),
            Service(SUPPORT, SPARE, True, 4, rank=2),
        ],
        [Pool(MAIN, 2, 1, 1), Pool(SPARE, 2, 1, 1, spare=True)],
        [Team(TEAM, team_slots, 1.0), Team(TeamId("other"), 100, 1.0)],
    )
    admission.set_slots([PoolSlots(MAIN, 8, 8), PoolSlots(SPARE, 8, 8)], NOW)
    return admission


def ticket(
    service: ServiceId = PLAIN,
    priority: Priority = Priority.NORMAL,
    deadline_s: float = 10.0,
    team: TeamId = TEAM,
    now: float = NOW,
) -> Ticket:
    return Ticket(service, team, priority, Instant(now + deadline_s), Instant(now))


def offer_many(admission: FloorAdmission, count: int, **options: Any) -> list[Ticket]:
    """Offer tickets; return those that were not refused."""
    tickets = []
    for _ in range(count):
        each = ticket(**options)
        try:
            admission.offer(each, NOW)
        except RequestRefusedError:
            continue
        tickets.append(each)
    return tickets


def running(tickets: list[Ticket]) -> list[Ticket]:
    return [each for each in tickets if each.state is TicketState.RUNNING]


class FloorTest(testtools.TestCase):
    """Guards against a flood that uses the floor of another service, in its pool or by a loan."""

    scenarios = [
        ("least urgent", {"flood": SUPPORT, "priority": Priority.BATCH}),
        ("most urgent", {"flood": URGENT, "priority": Priority.URGENT}),
        ("plain", {"flood": PLAIN, "priority": Priority.URGENT}),
    ]

    def test_floor_is_kept(self) -> None:
        admission = configured_admission()
        offer_many(admission, 500, service=self.flood, priority=self.priority)
        for service, floor in ((URGENT, 3), (PLAIN, 3), (SUPPORT, 4)):
            if service != self.flood:
                offered = offer_many(admission, floor, service=service, priority=Priority.BATCH)
                self.assertEqual(floor, len(running(offered)), service)


class LoanTest(testtools.TestCase):
    """Guards against loans of slots that belong to a floor."""

    scenarios = [
        # 5 of the main pool, where the other service has a floor of 3, and 4 of the spare pool.
        ("burst", {"service": PLAIN, "expected": {MAIN: 5, SPARE: 4}}),
        ("service of the spare pool", {"service": SUPPORT, "expected": {SPARE: 8}}),
    ]

    def test_lent_slots(self) -> None:
        offered = running(offer_many(configured_admission(), 40, service=self.service))
        pools = [each.pool for each in offered]
        self.assertEqual(self.expected, {pool: pools.count(pool) for pool in set(pools)})

    def test_burst_before_flood(self) -> None:
        """A borrowed slot that a flood frees goes to the burst of another service."""
        admission = configured_admission()
        flood = offer_many(admission, 2000, service=URGENT, priority=Priority.URGENT)
        burst = offer_many(admission, 6, service=PLAIN, priority=Priority.BATCH)
        self.assertEqual(3, len(running(burst)))
        for each in [each for each in running(flood) if each.pool == SPARE][:3]:
            admission.finish(each, True, NOW)
        self.assertEqual(6, len(running(burst)))


class EarlyRefusalTest(testtools.TestCase):
    """Guards against requests that wait although they cannot be served."""

    scenarios = [
        ("unknown", {"service": ServiceId("x"), "load": 0, "error": UnknownServiceError}),
        ("too slow", {"deadline_s": 0.04, "load": 1, "error": CannotFinishInTimeError}),
        (
            "long queue",
            {"deadline_s": 1.0, "load_s": 1.0, "load": 200, "error": CannotFinishInTimeError},
        ),
        ("full", {"deadline_s": 600.0, "load": 1000, "error": QueueFullError}),
        ("quota", {"team_slots": 2, "load": 18, "error": QuotaExceededError}),
        ("no target", {"slots": 0, "load": 0, "error": NoTargetError}),
    ]
    service = PLAIN
    deadline_s = 10.0
    team_slots = 2000
    slots = 8
    load_s = 600.0

    def test_refused_at_once(self) -> None:
        admission = configured_admission(self.team_slots)
        shares = [PoolSlots(pool, 8, self.slots) for pool in (MAIN, SPARE)]
        admission.set_slots(shares, NOW)
        offer_many(admission, self.load, deadline_s=self.load_s)
        before = admission.load(PLAIN)
        late = ticket(self.service, deadline_s=self.deadline_s)
        self.assertRaises(self.error, admission.offer, late, NOW)
        self.assertEqual(before, admission.load(PLAIN))
        self.assertTrue(before.waiting <= QUEUE_PER_SLOT * 8)


class QuotaTest(testtools.TestCase):
    """Guards against a team that exceeds its quota or whose queued requests block other teams."""

    def test_quota_of_team(self) -> None:
        admission = configured_admission(2)
        flood = offer_many(admission, 30)
        self.assertEqual(2, len(running(flood)))
        other = offer_many(admission, 3, team=TeamId("other"))
        self.assertEqual(3, len(running(other)))
        admission.finish(running(flood)[0], True, NOW)
        self.assertEqual(2, len(running(flood)))

    def test_quota_follows_share(self) -> None:
        """A process with half of the slots allows half of the quota, so all together keep to it."""
        admission = configured_admission(6)
        admission.set_slots([PoolSlots(MAIN, 8, 4), PoolSlots(SPARE, 8, 4)], NOW)
        self.assertEqual(3, len(running(offer_many(admission, 10))))


class QueueOrderTest(testtools.TestCase):
    """Guards against a queue that isn't sorted by priority class, deadline and arrival."""

    scenarios = [
        ("class", {"first": (Priority.NORMAL, 9.0), "second": (Priority.BATCH, 1.0)}),
        ("deadline", {"first": (Priority.BATCH, 1.0), "second": (Priority.BATCH, 9.0)}),
    ]

    def test_queue_order(self) -> None:
        queue = ServiceQueue()
        second = ticket(priority=self.second[0], deadline_s=self.second[1])
        first = ticket(priority=self.first[0], deadline_s=self.first[1])
        tie = replace(first, sequence=5)
        for each in (second, tie, first):
            queue.add(each)
        self.assertEqual([first, tie, second], list(queue))
        queue.remove(tie)
        self.assertEqual([first, second], list(queue))


class AdmittedOnTimeTest(testtools.TestCase):
    """Guards against admitted requests that end late because other requests flood in later."""

    scenarios = [
        ("same class", {"later": Priority.BATCH}),
        ("higher class", {"later": Priority.URGENT}),
    ]

    def test_admitted_requests_end_on_time(self) -> None:
        rng = random.Random(11)
        admission = configured_admission(1000)
        now = float(NOW)
        active: list[tuple[float, Ticket]] = []
        admitted: list[Ticket] = []
        late = 0
        for step in range(4000):
            now += 0.002
            priority = self.later if step >= 500 and step % 2 else Priority.BATCH
            each = ticket(priority=priority, deadline_s=rng.choice((0.8, 2.0)), now=now)
            try:
                changed = [*admission.offer(each, Instant(now))]
                admitted.append(each)
                if each.state is TicketState.RUNNING and each not in changed:
                    changed.append(each)
            except RequestRefusedError:
                changed = []
            while True:
                for started in changed:
                    if started.state is TicketState.RUNNING:
                        active.append((now + rng.expovariate(20), started))
                    else:
                        late += 1
                active.sort(key=lambda item: item[0])
                if not active or active[0][0] > now:
                    break
                _, done = active.pop(0)
                late += now > done.deadline
                changed = [*admission.finish(done, True, Instant(now))]
        self.assertTrue(len(admitted) > 800, len(admitted))
        self.assertTrue(late / len(admitted) <= 0.001, f"{late} of {len(admitted)} were late")


class WaitingTest(testtools.TestCase):
    """Guards against slots for tickets that were withdrawn or cannot end on time."""

    scenarios = [
        ("withdrawn", {"withdraw": True, "state": TicketState.DONE}),
        ("too late", {"withdraw": False, "state": TicketState.REFUSED}),
    ]

    def test_ticket_gets_no_slot(self) -> None:
        admission = configured_admission(1000)
        tickets = offer_many(admission, 10, deadline_s=2.0)
        waiting = next(each for each in tickets if each.state is TicketState.WAITING)
        if self.withdraw:
            admission.withdraw(waiting, NOW)
        later = Instant(NOW + 1.99)
        changed = admission.finish(running(tickets)[0], True, later)
        self.assertEqual(self.state, waiting.state)
        self.assertEqual(not self.withdraw, waiting in changed)


class ReconfigureTest(testtools.TestCase):
    """Guards against slots that leak when a declaration drops a service with open tickets."""

    def test_removed_service_frees_slots(self) -> None:
        admission = configured_admission()
        offered = offer_many(admission, 12, service=SUPPORT)
        admission.configure([Service(PLAIN, MAIN, True, 3)], [Pool(MAIN, 2, 1, 1)], [])
        for each in running(offered):
            admission.finish(each, True, NOW)
        for each in offered:
            if each.state is TicketState.WAITING:
                admission.withdraw(each, NOW)
        self.assertEqual(0, admission.load(SUPPORT).running)
        self.assertEqual(0, sum(pool.in_use for pool in admission.pools.values()))


class AdaptiveLimitTest(testtools.TestCase):
    """Guards against a limit that ignores queueing at the targets, or stays low after it."""

    scenarios = [
        ("steady", {"factor": 1.0, "low": 40, "high": 40}),
        ("slow", {"factor": 4.0, "low": 5, "high": 20}),
    ]

    def test_limit_falls_and_recovers(self) -> None:
        limit = AdaptiveLimit()
        limit.set_slots(40)
        for _ in range(MIN_WINDOW * 4):
            limit.add(0.05)
        for _ in range(MIN_WINDOW * 20):
            limit.add(0.05 * self.factor)
        self.assertTrue(self.low <= limit.current() <= self.high, limit.current())
        for _ in range(MIN_WINDOW * 60):
            limit.add(0.05)
        self.assertEqual(40, limit.current())


class DivideSlotsTest(testtools.TestCase):
    """Guards against entry processes that together use more slots than there are."""

    scenarios = [
        ("equal", {"slots": 9, "demand": (1.0, 1.0, 1.0), "expected": [3, 3, 3]}),
        ("idle processes lend", {"slots": 16, "demand": (30.0, 0.0, 0.0), "expected": [14, 1, 1]}),
        ("no demand", {"slots": 8, "demand": (0.0, 0.0, 0.0), "expected": [3, 3, 2]}),
        ("fewer than processes", {"slots": 2, "demand": (5.0, 5.0, 0.0), "expected": [1, 1, 0]}),
        ("none", {"slots": 0, "demand": (5.0, 5.0, 0.0), "expected": [0, 0, 0]}),
    ]

    def test_shares_add_up(self) -> None:
        demand = {ProcessId(f"p{index}"): value for index, value in enumerate(self.demand)}
        shares = divide_slots(self.slots, demand)
        self.assertEqual(self.expected, [shares[process] for process in sorted(shares)])
        self.assertEqual(self.slots, sum(shares.values()))

    def test_stale_process_loses_share(self) -> None:
        """The share of a process that no longer reports goes to the others."""
        peers = PeerDemands()
        peers.report(ProcessId("lost"), {"p": 3.0}, NOW)
        peers.report(ProcessId("alive"), {"p": 3.0}, Instant(NOW + STALE_AFTER_S))
        peers.forget_stale(Instant(NOW + STALE_AFTER_S + 0.1))
        self.assertEqual({"alive": 3.0}, peers.demand("p"))


class ServiceTimeTest(testtools.TestCase):
    """Guards against an estimate that follows an outlier, or misses a sustained change."""

    scenarios = [
        ("one outlier", {"times": [0.01] * 300 + [1.0], "low": 0.005, "high": 0.03}),
        ("sustained increase", {"times": [0.01] * 300 + [0.1] * 300, "low": 0.09, "high": 0.1}),
    ]

    def test_mean_service_time(self) -> None:
        time = ServiceTime()
        for service_s in self.times:
            time.add(service_s)
        self.assertTrue(self.low <= time.mean_s <= self.high, time.mean_s)


class FifoTest(testtools.TestCase):
    """Checks the failure that the policy prevents: under FIFO a flood takes every slot."""

    def test_flood_blocks_other_service(self) -> None:
        admission = FifoAdmission()
        admission.set_slots([PoolSlots(MAIN, 8, 8)], NOW)
        for _ in range(20):
            admission.offer(ticket(URGENT), NOW)
        behind = ticket(PLAIN)
        admission.offer(behind, NOW)
        self.assertEqual(TicketState.WAITING, behind.state)
