"""Guards against floods that take others' slots, late answers and queues without a bound."""

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


def declared(team_slots: int = 100) -> FloorAdmission:
    """Two services share the main pool of 8 slots; support is at home in the spare pool of 8."""
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


def offer_many(admission: FloorAdmission, count: int, **more: Any) -> list[Ticket]:
    """Offer tickets; return those that were not refused."""
    tickets = []
    for _ in range(count):
        each = ticket(**more)
        try:
            admission.offer(each, NOW)
        except RequestRefusedError:
            continue
        tickets.append(each)
    return tickets


def running(tickets: list[Ticket]) -> list[Ticket]:
    return [each for each in tickets if each.state is TicketState.RUNNING]


class FloorTest(testtools.TestCase):
    """No flood takes the floor of a service, in its own pool or by a loan."""

    scenarios = [
        ("least urgent", {"flood": SUPPORT, "priority": Priority.BATCH}),
        ("most urgent", {"flood": URGENT, "priority": Priority.URGENT}),
        ("plain", {"flood": PLAIN, "priority": Priority.URGENT}),
    ]

    def test_floor(self) -> None:
        admission = declared()
        offer_many(admission, 500, service=self.flood, priority=self.priority)
        for service, floor in ((URGENT, 3), (PLAIN, 3), (SUPPORT, 4)):
            if service != self.flood:
                got = offer_many(admission, floor, service=service, priority=Priority.BATCH)
                self.assertEqual(floor, len(running(got)), service)


class LoanTest(testtools.TestCase):
    """Slots above the floors are lent, and no others."""

    scenarios = [
        # 5 of the main pool, as the other service keeps 3, and 4 of the spare pool.
        ("burst", {"service": PLAIN, "due": {MAIN: 5, SPARE: 4}}),
        ("home of the spare pool", {"service": SUPPORT, "due": {SPARE: 8}}),
    ]

    def test_loan(self) -> None:
        got = running(offer_many(declared(), 40, service=self.service))
        pools = [each.pool for each in got]
        self.assertEqual(self.due, {pool: pools.count(pool) for pool in set(pools)})

    def test_burst_before_flood(self) -> None:
        """A slot that a flood has borrowed goes to the burst of another service next."""
        admission = declared()
        flood = offer_many(admission, 2000, service=URGENT, priority=Priority.URGENT)
        burst = offer_many(admission, 6, service=PLAIN, priority=Priority.BATCH)
        self.assertEqual(3, len(running(burst)))
        for each in [each for each in running(flood) if each.pool == SPARE][:3]:
            admission.finish(each, True, NOW)
        self.assertEqual(6, len(running(burst)))


class EarlyRefusalTest(testtools.TestCase):
    """What can't be done is refused at once with its own error."""

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

    def test_refused(self) -> None:
        admission = declared(self.team_slots)
        shares = [PoolSlots(pool, 8, self.slots) for pool in (MAIN, SPARE)]
        admission.set_slots(shares, NOW)
        offer_many(admission, self.load, deadline_s=self.load_s)
        before = admission.load(PLAIN)
        late = ticket(self.service, deadline_s=self.deadline_s)
        self.assertRaises(self.error, admission.offer, late, NOW)
        self.assertEqual(before, admission.load(PLAIN))
        self.assertTrue(before.waiting <= QUEUE_PER_SLOT * 8)


class QuotaTest(testtools.TestCase):
    """A team holds no more than its quota, and its waiting requests don't block other teams."""

    def test_quota(self) -> None:
        admission = declared(2)
        flood = offer_many(admission, 30)
        self.assertEqual(2, len(running(flood)))
        other = offer_many(admission, 3, team=TeamId("other"))
        self.assertEqual(3, len(running(other)))
        admission.finish(running(flood)[0], True, NOW)
        self.assertEqual(2, len(running(flood)))

    def test_share(self) -> None:
        """A process with half of the slots allows half of the quota."""
        admission = declared(6)
        admission.set_slots([PoolSlots(MAIN, 8, 4), PoolSlots(SPARE, 8, 4)], NOW)
        self.assertEqual(3, len(running(offer_many(admission, 10))))


class QueueOrderTest(testtools.TestCase):
    """Within a service the priority class goes first, then the deadline, then the arrival."""

    scenarios = [
        ("class", {"first": (Priority.NORMAL, 9.0), "second": (Priority.BATCH, 1.0)}),
        ("deadline", {"first": (Priority.BATCH, 1.0), "second": (Priority.BATCH, 9.0)}),
    ]

    def test_order(self) -> None:
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
    """What is admitted ends on time, also when other classes flood after it or slots go away."""

    scenarios = [
        ("same class", {"later": Priority.BATCH}),
        ("higher class", {"later": Priority.URGENT}),
    ]

    def test_on_time(self) -> None:
        rng = random.Random(11)
        admission = declared(1000)
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
    """A waiting ticket that is given up or too late never takes a slot."""

    scenarios = [
        ("withdrawn", {"withdraw": True, "state": TicketState.DONE}),
        ("too late", {"withdraw": False, "state": TicketState.REFUSED}),
    ]

    def test_waiting(self) -> None:
        admission = declared(1000)
        tickets = offer_many(admission, 10, deadline_s=2.0)
        waiting = next(each for each in tickets if each.state is TicketState.WAITING)
        if self.withdraw:
            admission.withdraw(waiting, NOW)
        later = Instant(NOW + 1.99)
        changed = admission.finish(running(tickets)[0], True, later)
        self.assertEqual(self.state, waiting.state)
        self.assertEqual(not self.withdraw, waiting in changed)


class ReconfigureTest(testtools.TestCase):
    """Tickets that are out survive a new declaration, even one without their service."""

    def test_removed_service(self) -> None:
        admission = declared()
        got = offer_many(admission, 12, service=SUPPORT)
        admission.configure([Service(PLAIN, MAIN, True, 3)], [Pool(MAIN, 2, 1, 1)], [])
        for each in running(got):
            admission.finish(each, True, NOW)
        for each in got:
            if each.state is TicketState.WAITING:
                admission.withdraw(each, NOW)
        self.assertEqual(0, admission.load(SUPPORT).running)
        self.assertEqual(0, sum(pool.in_use for pool in admission.pools.values()))


class AdaptiveLimitTest(testtools.TestCase):
    """The limit falls while requests wait at the targets, and comes back."""

    scenarios = [
        ("steady", {"factor": 1.0, "low": 40, "high": 40}),
        ("slow", {"factor": 4.0, "low": 5, "high": 20}),
    ]

    def test_limit(self) -> None:
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
    """Processes that know the same demand never use more than the slots together."""

    scenarios = [
        ("equal", {"slots": 9, "demand": (1.0, 1.0, 1.0), "due": [3, 3, 3]}),
        ("idle ones lend", {"slots": 16, "demand": (30.0, 0.0, 0.0), "due": [14, 1, 1]}),
        ("nobody asks", {"slots": 8, "demand": (0.0, 0.0, 0.0), "due": [3, 3, 2]}),
        ("fewer than processes", {"slots": 2, "demand": (5.0, 5.0, 0.0), "due": [1, 1, 0]}),
        ("none", {"slots": 0, "demand": (5.0, 5.0, 0.0), "due": [0, 0, 0]}),
    ]

    def test_divide(self) -> None:
        demand = {ProcessId(f"p{index}"): value for index, value in enumerate(self.demand)}
        shares = divide_slots(self.slots, demand)
        self.assertEqual(self.due, [shares[process] for process in sorted(shares)])
        self.assertEqual(self.slots, sum(shares.values()))

    def test_stale(self) -> None:
        """The share of a process that is gone returns to the others."""
        peers = PeerDemands()
        peers.report(ProcessId("gone"), {"p": 3.0}, NOW)
        peers.report(ProcessId("here"), {"p": 3.0}, Instant(NOW + STALE_AFTER_S))
        peers.forget_stale(Instant(NOW + STALE_AFTER_S + 0.1))
        self.assertEqual({"here": 3.0}, peers.demand("p"))


class ServiceTimeTest(testtools.TestCase):
    """The estimate follows a change, and a few odd requests don't move it much."""

    scenarios = [
        ("one outlier", {"times": [0.01] * 300 + [1.0], "low": 0.005, "high": 0.03}),
        ("slower for good", {"times": [0.01] * 300 + [0.1] * 300, "low": 0.09, "high": 0.1}),
    ]

    def test_mean(self) -> None:
        time = ServiceTime()
        for each in self.times:
            time.add(each)
        self.assertTrue(self.low <= time.mean_s <= self.high, time.mean_s)


class FifoTest(testtools.TestCase):
    """The baseline shows what the policy prevents: a flood ahead takes every slot."""

    def test_flood(self) -> None:
        admission = FifoAdmission()
        admission.set_slots([PoolSlots(MAIN, 8, 8)], NOW)
        for _ in range(20):
            admission.offer(ticket(URGENT), NOW)
        behind = ticket(PLAIN)
        admission.offer(behind, NOW)
        self.assertEqual(TicketState.WAITING, behind.state)
