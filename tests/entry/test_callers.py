"""Guards against a request without one of the four outcomes, or with the wrong one."""

import anyio
import testtools
from marigolddoor_core.ids import PoolId, VmId

from tests.entry.fakes import FakeTarget, running_entry


class AnsweredTest(testtools.TestCase):
    """A request reaches a target with its headers, and the whole answer comes back."""

    def test_answer(self) -> None:
        anyio.run(self.answer)

    async def answer(self) -> None:
        target = FakeTarget(VmId("vm-1"), PoolId("renewals"))
        async with running_entry([target]) as entry:
            response = await entry.request(path="/a?b=c", x_own="kept")
        self.assertEqual((200, "/a?b=c ran 1 "), (response.status_code, response.text))
        self.assertEqual("answered", response.headers["marigolddoor-outcome"])
        head = target.heads[0]
        self.assertEqual(
            ("renewals", "1", "kept"),
            (head["marigolddoor-service"], head["marigolddoor-epoch"], head["x-own"]),
        )
        self.assertTrue(0 < int(head["marigolddoor-remaining-ms"]) <= 10_000)
