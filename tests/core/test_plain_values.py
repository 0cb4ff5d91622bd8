"""Guards against requests that are accepted with a wrong, missing or unknown field."""

from dataclasses import dataclass
from enum import Enum
from typing import Any

import testtools
from marigolddoor_core.ids import PoolId
from marigolddoor_core.plain_values import PlainValueError, from_plain, to_plain


class Colour(Enum):
    """An enum with a text value."""

    RED = "red"


@dataclass(frozen=True, slots=True)
class Inner:
    """A nested value."""

    number: float


@dataclass(frozen=True, slots=True)
class Outer:
    """A value with a field of each kind."""

    name: PoolId
    count: int
    flag: bool
    colour: Colour
    inner: tuple[Inner, ...]
    note: str | None = None


GOOD: dict[str, Any] = {
    "name": "a",
    "count": 2,
    "flag": True,
    "colour": "red",
    "inner": [{"number": 1.5}],
    "note": None,
}


class RoundTripTest(testtools.TestCase):
    """Guards against values that change when they are written and read back."""

    def test_round_trip(self) -> None:
        value = Outer(PoolId("a"), 2, True, Colour.RED, (Inner(1.5),))
        self.assertEqual(GOOD, to_plain(value))
        self.assertEqual(value, from_plain(Outer, GOOD))

    def test_reply_of_newer_version(self) -> None:
        value = from_plain(Outer, {**GOOD, "new": 1}, strict=False)
        self.assertEqual("a", value.name)


class ProblemsTest(testtools.TestCase):
    """Guards against problems that are not reported with their path, and bools read as numbers."""

    scenarios = [
        ("type", {"change": {"count": "2"}, "problems": ["count is '2'; expected a whole number"]}),
        ("bool", {"change": {"count": True}, "problems": ["count is True; expected a whole"]}),
        ("int", {"change": {"flag": 1}, "problems": ["flag is 1; expected true or false"]}),
        ("float", {"change": {"count": 2.0}, "problems": ["count is 2.0; expected a whole"]}),
        ("enum", {"change": {"colour": "blue"}, "problems": ["colour is 'blue'; expected one of"]}),
        ("list", {"change": {"inner": {}}, "problems": ["inner is {}; expected a list"]}),
        (
            "nested and unknown",
            {
                "change": {"inner": [{"number": 1}, {"number": None}, {}], "x": 1},
                "problems": ["inner[1].number is None", "inner[2].number is missing", "x is not"],
            },
        ),
    ]

    def test_every_problem_is_reported(self) -> None:
        error = self.assertRaises(PlainValueError, from_plain, Outer, {**GOOD, **self.change})
        self.assertEqual(len(self.problems), len(error.problems), error.problems)
        for expected, found in zip(self.problems, error.problems, strict=True):
            self.assertTrue(found.startswith(expected), found)
