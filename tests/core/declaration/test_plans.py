"""Guards against plans that omit an effect or list one that does not occur."""

from dataclasses import replace

import testtools
from marigolddoor_core.declaration import Effect, Weights, plan
from marigolddoor_core.ids import JobId, LogIndex, OrganisationId, PoolId, ServiceId
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import DeclarationAccepted
from marigolddoor_core.targets import Resources

from bench.faults import state_commands as f

BASE = f.DECLARATION
WEB, SPARE = BASE.pools
ORDERS, HELP = BASE.services
REPORT = BASE.jobs[0]
SHOP = BASE.teams[0]


class PlanTest(testtools.TestCase):
    """A plan lists the effects of a change and is blocked exactly if applying it is refused."""

    scenarios = [
        (name, {"proposed": proposed, "expected": expected})
        for name, proposed, expected in [
            ("nothing", BASE, []),
            (
                "another organisation",
                replace(BASE, organisation=OrganisationId("other")),
                [(Effect.BLOCKED, "other", 0)],
            ),
            (
                "a service moves to another pool",
                replace(BASE, services=(replace(ORDERS, pool=SPARE.id), HELP)),
                [(Effect.MOVE, "orders", 0)],
            ),
            (
                "a service takes the place of another",
                replace(BASE, services=(ORDERS, replace(HELP, id=ServiceId("aid")))),
                [(Effect.ADD, "aid", 0), (Effect.REMOVE, "help", 0)],
            ),
            (
                "a larger pool takes VMs from the spare pool and lacks the others",
                replace(BASE, pools=(replace(WEB, size=12), SPARE)),
                [
                    (Effect.RESIZE, "web", 6),
                    (Effect.DRAIN, "spare", 4),
                    (Effect.MOVE, "web", 4),
                    (Effect.ADD, "web", 2),
                ],
            ),
            (
                "a smaller pool gives VMs to the spare pool",
                replace(BASE, pools=(replace(WEB, size=5), SPARE)),
                [(Effect.RESIZE, "web", 1), (Effect.DRAIN, "web", 1), (Effect.MOVE, "web", 1)],
            ),
            (
                "a larger spare pool",
                replace(BASE, pools=(WEB, replace(SPARE, size=7))),
                [(Effect.RESIZE, "spare", 1), (Effect.ADD, "spare", 1)],
            ),
            (
                "another budget",
                replace(BASE, pools=(replace(WEB, max_unavailable=2), SPARE)),
                [(Effect.CHANGE, "web", 0)],
            ),
            (
                "a pool that has VMs",
                replace(
                    BASE, services=(replace(ORDERS, pool=SPARE.id), HELP), pools=(SPARE,), jobs=()
                ),
                [
                    (Effect.MOVE, "orders", 0),
                    (Effect.BLOCKED, "web", 6),
                    (Effect.REMOVE, "report", 0),
                    (Effect.STOP, "report", 2),
                ],
            ),
            (
                "a quota",
                replace(BASE, teams=(replace(SHOP, slots=9),)),
                [(Effect.CHANGE, "shop", 0)],
            ),
            ("more tasks", f.with_job(5), [(Effect.START, "report", 3)]),
            ("fewer tasks", f.with_job(1), [(Effect.STOP, "report", 1)]),
            ("a version", f.with_job(2, "2"), [(Effect.ROLL_OUT, "report", 2)]),
            (
                "a job on another pool with another size",
                replace(BASE, jobs=(replace(REPORT, pool=SPARE.id, size=Resources(1.0, 1_000)),)),
                [(Effect.CHANGE, "report", 0), (Effect.MOVE, "report", 2)],
            ),
            (
                "a new job",
                replace(BASE, jobs=(REPORT, replace(REPORT, id=JobId("copy")))),
                [(Effect.ADD, "copy", 0), (Effect.START, "copy", 2)],
            ),
            (
                "weights",
                replace(BASE, weights=Weights(buffer=3.0)),
                [(Effect.CHANGE, "weights", 0)],
            ),
            (
                "a pool that does not exist yet",
                replace(BASE, pools=(WEB, SPARE, replace(WEB, id=PoolId("new"), size=3, floor=2))),
                [(Effect.ADD, "new", 0), (Effect.DRAIN, "spare", 3), (Effect.MOVE, "new", 3)],
            ),
        ]
    ]

    def setUp(self) -> None:
        super().setUp()
        self.machine = StateMachine()
        f.apply_all(
            self.machine,
            f.declare(),
            *(f.register(f"{pool.id}-{n}", pool.id) for pool in BASE.pools for n in range(6)),
        )

    def test_items(self) -> None:
        items = plan(BASE, self.proposed, self.machine.vms).items
        self.assertEqual(self.expected, [(item.effect, item.key, item.count) for item in items])
        for item in items:
            self.assertRegex(item.sentence, r"^[A-Z].*\.$")

    def test_blocked_as_applied(self) -> None:
        blocked = plan(BASE, self.proposed, self.machine.vms).blocked
        index = LogIndex(self.machine.index + 1)
        result = self.machine.apply(index, f.declare(1, "r2", self.proposed))
        self.assertEqual(blocked, not isinstance(result, DeclarationAccepted))


class FirstPlanTest(testtools.TestCase):
    """The plan of the first declaration adds every part and every VM."""

    def test_first(self) -> None:
        items = plan(None, BASE, {}).items
        counts = [(item.key, item.count) for item in items if item.effect is Effect.ADD]
        self.assertIn(("web", 6), counts)
        self.assertIn(("spare", 6), counts)
        self.assertEqual(
            "Job report starts 2 tasks.",
            next(item.sentence for item in items if item.effect is Effect.START),
        )
