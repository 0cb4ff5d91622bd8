"""Guards against a flood of one team that takes goodput from the others while peaks rotate."""

import testtools

from bench.measure_shares import kept_shares
from bench.team_load import Policy

# The stated goal: the goodput that the other teams keep when one sends 6 times its usual load.
GOAL = 0.99


class FloodTest(testtools.TestCase):
    """The other teams and the smallest tenth keep their goodput; without shares they do not."""

    scenarios = [
        ("shares", {"policy": Policy(), "seeds": (1, 2), "is_kept": True}),
        ("by value alone", {"policy": Policy(has_shares=False), "seeds": (1,), "is_kept": False}),
        (
            "first come, first served",
            {
                "policy": Policy(is_by_value=False, has_shares=False),
                "seeds": (1,),
                "is_kept": False,
            },
        ),
    ]

    def test_flood(self) -> None:
        kept, of_smallest = kept_shares(self.policy, self.seeds)
        self.assertEqual(self.is_kept, kept >= GOAL, kept)
        self.assertEqual(self.is_kept, of_smallest >= GOAL, of_smallest)
