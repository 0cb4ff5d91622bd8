"""Guards against a join request of a former incarnation that removes the machine's present one."""

import anyio
import testtools
from marigolddoor_core.consensus import Member
from marigolddoor_wire.replica_messages import Join

from tests.control.groups import Process, running_group
from tests.storage.folders import temporary_folder

# A machine that is back must count again after this time.
CATCH_UP_S = 4.0
# A leader acts on a request within a few heartbeats.
OBSERVED_S = 2.0
LIMIT_S = 20.0


class LateJoinTest(testtools.TestCase):
    """A wiped machine that has joined again stays a voter.

    A member asks to join while it has no contact to the leader, and a request may be held up on its
    way, so the leader receives it while the sender is a member, or after it was wiped.
    """

    scenarios = [
        ("received while the sender is a member", {"after_wipe": False}),
        ("received after the sender was wiped", {"after_wipe": True}),
    ]

    def test_voters(self) -> None:
        anyio.run(self.run_group)

    async def run_group(self) -> None:
        with anyio.fail_after(LIMIT_S):
            async with running_group(temporary_folder(self), 3) as group:
                leader, follower = await group.leader(), await group.follower()
                request = Join(Member(follower.consensus.replica_id, follower.settings.address))
                if not self.after_wipe:
                    await leader.consensus.handle(request)
                await follower.kill()
                for file in follower.folder.iterdir():
                    file.unlink()
                restarted = await group.start(group.processes.index(follower))
                await restarted.ready()
                await self.joined(leader, restarted)
                if self.after_wipe:
                    await leader.consensus.handle(request)
                for _ in range(round(OBSERVED_S / 0.01)):
                    self.assertIn(restarted.consensus.replica_id, self.voter_ids(leader))
                    self.assertEqual(3, len(self.voter_ids(leader)))
                    await anyio.sleep(0.01)

    async def joined(self, leader: Process, process: Process) -> None:
        """Wait until the new incarnation is a voter, at most for the time it has to catch up."""
        with anyio.move_on_after(CATCH_UP_S):
            while process.consensus.replica_id not in self.voter_ids(leader):
                await anyio.sleep(0.01)

    def voter_ids(self, leader: Process) -> tuple[str, ...]:
        return leader.replica.configuration.voter_ids
