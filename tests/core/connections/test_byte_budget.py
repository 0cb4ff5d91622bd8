"""Guards against a process that holds more for its clients than its memory allows."""

import testtools
from marigolddoor_core.connections import (
    Account,
    BudgetPart,
    ByteBudget,
    ConnectionLimits,
    ConnectionPhase,
    KeepAll,
    LeastProgressFirst,
)

LIMITS = ConnectionLimits()
BODY_BYTES = 262_144
PART = BudgetPart(6 * 1024 * 1024, 60)
CROWD = 50
SMALL, LARGE = 1000, BODY_BYTES


def crowd(budget: ByteBudget, now: float) -> list[Account]:
    """Open connections that stop just short of the end of a large body."""
    accounts = []
    for _ in range(CROWD):
        account, _ = budget.open(now)
        assert account is not None
        account.enter(ConnectionPhase.BODY, now)
        if budget.hold(account, BODY_BYTES, now).is_granted:
            account.record_progress(BODY_BYTES - 10, now)
            accounts.append(account)
        else:
            budget.close(account)
    return accounts


class CrowdTest(testtools.TestCase):
    """Replays a crowd of unfinished large requests, then requests of ordinary callers.

    `served` is how many of 20 requests find room, one each 0.1 s from `after_s` on.
    """

    scenarios = [
        (name, {"order": order, "size": size, "after_s": after_s, "served": served})
        for name, order, size, after_s, served in (
            ("baseline, small", KeepAll(), SMALL, 2.0, 20),
            ("baseline, large", KeepAll(), LARGE, 2.0, 0),
            ("small, at once", LeastProgressFirst(LIMITS), SMALL, 0.0, 20),
            ("large, once the crowd is behind", LeastProgressFirst(LIMITS), LARGE, 2.0, 20),
        )
    ]

    def test_replay(self) -> None:
        budget = ByteBudget(PART, self.order)
        members = set(crowd(budget, 0.0))
        served = 0
        for number in range(20):
            now = self.after_s + number / 10
            account, _ = budget.open(now)
            assert account is not None
            decision = budget.hold(account, self.size, now)
            served += decision.is_granted
            for shed in decision.shed:
                self.assertIn(shed, members)
                budget.close(shed)
            self.assertTrue(budget.held_bytes <= PART.held_bytes)
            budget.close(account)
        self.assertEqual(self.served, served)


class ConnectionsTest(testtools.TestCase):
    """A new connection replaces one that is behind; without one it is refused."""

    scenarios = [
        ("all keep up", {"now": 1.0, "is_open": False}),
        ("all sent nothing", {"now": 5.0, "is_open": True}),
    ]

    def test_open(self) -> None:
        budget = ByteBudget(BudgetPart(None, 3), LeastProgressFirst(LIMITS))
        for _ in range(3):
            budget.open(0.0)
        account, shed = budget.open(self.now)
        self.assertEqual(self.is_open, account is not None)
        self.assertEqual(int(self.is_open), len(shed))


class AccountingTest(testtools.TestCase):
    """What was held is free again after a release or the end; a refusal changes nothing."""

    scenarios = [
        ("grows", {"sizes": [100, 300], "held": 300}),
        ("shrinks", {"sizes": [300, 100], "held": 100}),
        ("is refused", {"sizes": [300, 2000], "held": 300}),
    ]

    def test_held(self) -> None:
        budget = ByteBudget(BudgetPart(1000, 3), LeastProgressFirst(LIMITS))
        account, _ = budget.open(0.0)
        assert account is not None
        for size in self.sizes:
            budget.hold(account, size, 0.0)
        self.assertEqual((self.held, self.held), (account.held_bytes, budget.held_bytes))
        budget.close(account)
        self.assertEqual(0, budget.held_bytes)
