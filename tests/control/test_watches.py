"""Guards against watchers that miss a change, receive an older state or are never woken."""

import anyio
import testtools
from marigolddoor_control.watches import WatchService
from marigolddoor_core.declaration import Weights
from marigolddoor_core.ids import DataCentreId, LogIndex, ProcessId, Revision
from marigolddoor_core.state.objects import Change, ObjectKind
from marigolddoor_wire.messages import Watch, WatchReply


def change(index: int) -> Change:
    """Return a change at `index`."""
    return Change(ObjectKind.WEIGHTS, f"w{index}", LogIndex(index), Weights())


class FakeState:
    """A state that no longer retains the single changes up to `oldest`."""

    def __init__(self, index: int, oldest: int = 0) -> None:
        self.index = LogIndex(index)
        self.oldest = oldest

    def changes_after(
        self, index: LogIndex, data_centre: DataCentreId | None
    ) -> tuple[Change, ...] | None:
        if index < self.oldest:
            return None
        return tuple(change(i) for i in range(index + 1, self.index + 1))

    def all_changes(self, data_centre: DataCentreId | None) -> tuple[Change, ...]:
        return (change(self.index),)


def watch(after: int, wait_s: float = 0.05) -> Watch:
    """Return a watch after index `after`."""
    return Watch(ProcessId("e"), DataCentreId("d"), LogIndex(after), Revision(3), wait_s)


class AnswerTest(testtools.TestCase):
    """The reply has all missing changes, or a snapshot if they are not retained."""

    scenarios = [
        ("changes", {"after": 3, "oldest": 0, "expected": (5, False, [4, 5])}),
        ("too far behind", {"after": 1, "oldest": 3, "expected": (5, True, [5])}),
        ("no changes", {"after": 5, "oldest": 0, "expected": (5, False, [])}),
        ("replica behind the watcher", {"after": 9, "oldest": 0, "expected": (9, False, [])}),
    ]

    def test_reply(self) -> None:
        service = WatchService(FakeState(5, self.oldest), anyio.Event)
        reply = anyio.run(service.answer, watch(self.after))
        indexes = [part.index for part in reply.changes]
        self.assertEqual(self.expected, (reply.index, reply.snapshot, indexes))


class WakeTest(testtools.TestCase):
    """A waiting watcher receives a change when it is applied, not at the end of its wait."""

    def test_woken(self) -> None:
        anyio.run(self.woken)

    async def woken(self) -> None:
        state = FakeState(5)
        applied = anyio.Event()
        seen: list[Revision] = []
        service = WatchService(state, lambda: applied, lambda _, revision: seen.append(revision))
        replies: list[WatchReply] = []

        async def wait() -> None:
            replies.append(await service.answer(watch(5, wait_s=60.0)))

        with anyio.fail_after(5):
            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                await anyio.wait_all_tasks_blocked()
                state.index = LogIndex(6)
                applied.set()
        self.assertEqual([6], [part.index for part in replies[0].changes])
        self.assertEqual([Revision(3)], seen)
