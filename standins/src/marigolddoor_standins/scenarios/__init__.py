"""Scripted fault scenarios: a small language, its parser and a runner in virtual time."""

from marigolddoor_standins.scenarios.parser import ScenarioError, parse
from marigolddoor_standins.scenarios.runner import Leader, Outcome, real_leader, run
from marigolddoor_standins.scenarios.steps import Scenario

__all__ = ["Leader", "Outcome", "Scenario", "ScenarioError", "parse", "real_leader", "run"]
