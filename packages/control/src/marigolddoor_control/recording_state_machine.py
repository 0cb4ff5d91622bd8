"""A state machine wrapper that records a timeline event for each applied command."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from marigolddoor_core.ids import LogIndex
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.machine import StateMachine
from marigolddoor_core.state.results import Result
from marigolddoor_core.timeline import Recorder, Subject
from marigolddoor_core.timeline.command_events import command_event

__all__ = ["RecordingStateMachine"]


class RecordingStateMachine:
    """Applies commands and records them while `is_recording`, so that only one replica does."""

    def __init__(
        self,
        state: StateMachine,
        recorder: Recorder,
        is_recording: Callable[[], bool],
        wall_ms: Callable[[], int],
    ) -> None:
        self.state = state
        self.recorder = recorder
        self.is_recording = is_recording
        self.wall_ms = wall_ms

    def apply(self, index: LogIndex, command: Command) -> Result:
        """Apply the command at `index`."""
        result = self.state.apply(index, command)
        if self.is_recording():
            event = command_event(command, result)
            if event is not None:
                subject = self._with_pool(event.subject)
                self.recorder.record(event.kind, self.wall_ms(), subject, event.text)
        return result

    def _with_pool(self, subject: Subject) -> Subject:
        """Add the pool of the VM, so that a pool's timeline includes the events of its VMs."""
        record = None if subject.vm is None else self.state.vms.get(subject.vm)
        if record is None or subject.pool is not None:
            return subject
        return replace(subject, pool=record.pool)

    def snapshot(self) -> Any:
        """Return the whole state."""
        return self.state.snapshot()

    def restore(self, snapshot: Any) -> None:
        """Replace the whole state."""
        self.state.restore(snapshot)
