"""Guards against measured declarations that the state machine refuses."""

import testtools
from marigolddoor_core.capacity import SharedBufferSizing
from marigolddoor_core.ids import PoolId

from bench.measure_capacity import POOLS, NoMoves, start


class StartTest(testtools.TestCase):
    """A fleet starts with any pool size that a sizing may request.

    A budget of 4 VMs in pools of 2 was refused, and the measurement ended with an error.
    """

    scenarios = [(f"{size} VMs", {"size": size}) for size in (1, 2, 6, 12)]

    def test_start(self) -> None:
        sizes = {PoolId(name): self.size for name in POOLS}
        run = start(sizes, SharedBufferSizing(), NoMoves())
        run.run_for(5)
        self.assertEqual(self.size * len(POOLS), len(run.fleet.state.vms))
