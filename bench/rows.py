"""Rows of the bench: a figure, its baseline in the same run and its goal."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Goal", "GoalKind", "Row"]


class GoalKind(Enum):
    """How a figure is compared with its goal."""

    AT_MOST = "at most"
    AT_LEAST = "at least"
    AT_MOST_TIMES_BASELINE = "at most, times the baseline"
    AT_LEAST_TIMES_BASELINE = "at least, times the baseline"


@dataclass(frozen=True, slots=True)
class Goal:
    """A bound from the stated target."""

    kind: GoalKind
    bound: float

    def is_met(self, value: float, baseline: float) -> bool:
        """Return whether `value` is within the bound."""
        limit = self.bound
        if self.kind in (GoalKind.AT_MOST_TIMES_BASELINE, GoalKind.AT_LEAST_TIMES_BASELINE):
            limit *= baseline
        if self.kind in (GoalKind.AT_MOST, GoalKind.AT_MOST_TIMES_BASELINE):
            return value <= limit
        return value >= limit

    def __str__(self) -> str:
        return f"{self.kind.value} {self.bound:g}"


@dataclass(frozen=True, slots=True)
class Row:
    """A measured figure. `baseline` is None if the baseline was not measured."""

    name: str
    value: float
    unit: str
    baseline: float
    goal: Goal

    def is_met(self) -> bool:
        """Return whether the figure meets its goal."""
        return self.goal.is_met(self.value, self.baseline)
