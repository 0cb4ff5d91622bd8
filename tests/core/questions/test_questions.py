"""Tests of questions: opened once, with facts and choices, closed in time, answers carried out."""

from dataclasses import replace

import testtools
from marigolddoor_core.declaration import Declaration, Team
from marigolddoor_core.ids import DataCentreId, OperatorId, RequestId, VmId
from marigolddoor_core.maintenance import BudgetLedger, Maintenance
from marigolddoor_core.questions.detection import Detection
from marigolddoor_core.questions.detectors import unreachable_data_centres
from marigolddoor_core.state.commands import AnswerQuestion, ApplyDeclaration, OpenQuestion
from marigolddoor_standins.virtual import VirtualFleet, VirtualState
from marigolddoor_standins.virtual.samples import TEAM, add_workers, job, organisation, pool

from tests.core.fleets import announcement, declaration, fleet, observed, record

HUGE_TEAM = (Team(TEAM, 10, 1_000.0),)
SMALL_TEAM = (Team(TEAM, 10, 2.0),)
GOOD_TEAM = (Team(TEAM, 10, 50.0),)


def stop_announcing(*vms: str):
    def act(fleet: VirtualFleet, on: bool) -> None:
        for vm in vms:
            fleet.workers[VmId(vm)].unresponsive = on

    return act


def cut_off(fleet: VirtualFleet, on: bool) -> None:
    data_centre = DataCentreId("dc-0")
    if on:
        fleet.unreachable_data_centres.add(data_centre)
    else:
        fleet.unreachable_data_centres.clear()


def overdue_maintenance(fleet: VirtualFleet, on: bool) -> None:
    interval_s = 10.0 if on else 4e6
    pools = tuple(
        replace(each, maintenance_interval_s=interval_s) for each in fleet.state.declaration.pools
    )
    declare(fleet, replace(fleet.state.declaration, pools=pools))


def declare(fleet: VirtualFleet, declared: Declaration) -> None:
    request = RequestId(f"r{fleet.state.revision}")
    command = ApplyDeclaration(fleet.state.revision, request, OperatorId("ada"), declared)
    assert fleet.state.apply(command, fleet.now_s)


def with_teams(teams: tuple[Team, ...]):
    def act(fleet: VirtualFleet, on: bool) -> None:
        declare(fleet, replace(fleet.state.declaration, teams=teams if on else GOOD_TEAM))

    return act


CASES = [
    (
        "one target",
        {"act": stop_announcing("web-5"), "wait_s": 45, "subjects": ["target-silent:web-5"]},
    ),
    (
        "a rack",
        {
            "act": stop_announcing("web-0", "web-1", "web-2", "web-3"),
            "wait_s": 80,
            "subjects": ["pool-budget:web", "rack-silent:dc-0/web-rack-0"],
        },
    ),
    (
        "a data centre",
        {
            "act": cut_off,
            "wait_s": 80,
            "subjects": ["data-centre-silent:dc-0", "pool-budget:web"],
        },
    ),
    (
        "a quota above the fleet",
        {"act": with_teams(HUGE_TEAM), "wait_s": 123, "subjects": ["quota:kitchen"]},
    ),
    (
        "a quota below a task",
        {"act": with_teams(SMALL_TEAM), "wait_s": 3, "subjects": ["quota:kitchen"]},
    ),
    (
        "an overdue wave",
        {"act": overdue_maintenance, "wait_s": 3_610, "subjects": ["wave-overdue:web"]},
    ),
]


def fleet_of(with_maintenance: bool = False) -> VirtualFleet:
    declared = organisation([pool("web")], [job("j")], GOOD_TEAM)

    def leader() -> list[Detection | Maintenance]:
        ledger = BudgetLedger()
        maintenance = [Maintenance(ledger)] if with_maintenance else []
        return [*maintenance, Detection(ledger)]

    fleet = VirtualFleet(VirtualState(declared), leader)
    add_workers(fleet, "web", 6)
    fleet.run(5)
    return fleet


def subjects(fleet: VirtualFleet, closed: bool = False) -> list[str]:
    questions = fleet.state.questions.values()
    return sorted(question.subject for question in questions if question.closed is closed)


class TestDetection(testtools.TestCase):
    """Guards against problems that open no question, or open a second one."""

    scenarios = CASES

    def test_opened_once_and_closed(self) -> None:
        fleet = fleet_of()
        fleet.run(100)
        self.assertEqual([], subjects(fleet))
        self.act(fleet, True)
        fleet.run(self.wait_s)
        self.assertEqual(self.subjects, subjects(fleet))
        fleet.run(200)
        self.assertEqual(self.subjects, subjects(fleet))
        fleet.change_leader()
        fleet.run(200)
        self.assertEqual(self.subjects, subjects(fleet))
        for question in fleet.state.questions.values():
            self.assertTrue(question.facts and question.sentence.endswith("?"))
            self.assertIn(question.default, [choice.name for choice in question.choices])
        self.act(fleet, False)
        fleet.run(60)
        self.assertEqual([], subjects(fleet))
        self.assertEqual(self.subjects, subjects(fleet, closed=True))

    def test_an_answered_question_is_not_opened_again(self) -> None:
        fleet = fleet_of()
        self.act(fleet, True)
        fleet.run(self.wait_s)
        for question in tuple(fleet.state.questions.values()):
            choice = question.choices[0].name if question.default != "reboot" else "wait"
            answer = AnswerQuestion(question.question, choice, OperatorId("ada"), RequestId("r"))
            fleet.state.apply(answer, fleet.now_s)
        fleet.run(100)
        self.assertEqual(self.subjects, subjects(fleet))


class TestAnswers(testtools.TestCase):
    """Guards against answers that are not carried out."""

    scenarios = [
        ("retire", {"case": 0, "choice": "retire", "check": lambda f: len(f.state.vms) == 5}),
        ("reboot", {"case": 0, "choice": "reboot", "check": lambda f: len(f.reboots) == 1}),
        ("lost", {"case": 2, "choice": "lost", "check": lambda f: len(f.state.vms) == 2}),
        (
            "budget",
            {
                "case": 1,
                "choice": "allow-4",
                "check": lambda f: f.state.declaration.pools[0].max_unavailable == 4,
            },
        ),
        ("fit down", {"case": 3, "choice": "fit", "check": lambda f: _cores(f) == 96.0}),
        ("fit up", {"case": 4, "choice": "fit", "check": lambda f: _cores(f) == 4.0}),
        (
            "one more",
            {
                "case": 5,
                "choice": "allow-2",
                "check": lambda f: f.state.declaration.pools[0].max_unavailable == 2,
            },
        ),
    ]

    def test_the_answer_is_carried_out(self) -> None:
        fleet = fleet_of(with_maintenance=self.choice == "reboot")
        case = CASES[self.case][1]
        case["act"](fleet, True)
        fleet.run(case["wait_s"])
        for question in tuple(fleet.state.questions.values()):
            if self.choice in [choice.name for choice in question.choices]:
                answer = AnswerQuestion(
                    question.question, self.choice, OperatorId("ada"), RequestId("r")
                )
                fleet.state.apply(answer, fleet.now_s)
        fleet.run(10)
        fleet.change_leader()
        fleet.run(50)
        self.assertTrue(self.check(fleet))


def _cores(fleet: VirtualFleet) -> float:
    return fleet.state.declaration.teams[0].cores


class TestDefault(testtools.TestCase):
    """Guards against a default that is never applied, or that overrides an answer."""

    scenarios = [
        ("no answer", {"answer": None, "reboots": 1}),
        ("wait", {"answer": "wait", "reboots": 0}),
    ]

    def test_the_default_applies_without_an_answer(self) -> None:
        fleet = fleet_of(with_maintenance=True)
        fleet.workers[VmId("web-5")].unresponsive = True
        fleet.run(45)
        (question,) = fleet.state.questions.values()
        if self.answer is not None:
            answer = AnswerQuestion(
                question.question, self.answer, OperatorId("ada"), RequestId("r")
            )
            fleet.state.apply(answer, fleet.now_s)
        fleet.run(580)
        self.assertEqual(0, len(fleet.reboots))
        fleet.run(60)
        self.assertEqual(self.reboots, len(fleet.reboots))
        self.assertEqual(1, fleet.applied[OpenQuestion])


class TestUnreachableDataCentreFacts(testtools.TestCase):
    """Guards against facts that state an age of the last announcement which the leader lacks."""

    scenarios = [
        ("announced", {"age_s": 7.0, "expected": "The last announcement is 7 s old."}),
        (
            "never announced to this leader",
            {"age_s": None, "expected": "This leader has received no announcement from it."},
        ),
    ]

    def test_facts(self) -> None:
        target = announcement("vm-1", "dc-0", "r-0")
        targets = [] if self.age_s is None else [observed(target, age_s=self.age_s)]
        unreachable = fleet(declaration([("web", 1)]), targets, [record(target, "web")])
        unreachable = replace(
            unreachable, unresponsive_data_centres=frozenset({target.data_centre})
        )
        (finding,) = unreachable_data_centres(unreachable, {})
        facts = [fact.text for fact in finding.draft.facts]
        self.assertEqual(["1 VMs are in it.", self.expected], facts)
