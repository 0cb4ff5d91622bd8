"""The state machine that the group replicates."""

from typing import Any, Protocol

from marigolddoor_core.ids import LogIndex

__all__ = ["ReplicatedStateMachine"]


class ReplicatedStateMachine(Protocol):
    """Applies committed commands in log order, with the same results on every replica.

    Its commands and results are dataclasses that are registered with the codec. The leader sets
    the field `time_s` of each command.
    """

    def apply(self, index: LogIndex, command: Any) -> Any:
        """Apply the command at `index`."""
        ...

    def snapshot(self) -> Any:
        """Return the state as a frozen dataclass that the codec can encode.

        Later changes of the state must not alter it. The driver encodes it in parts, each with a
        share of the items of its tuple fields, so a large state should keep its items in tuples.
        """
        ...

    def restore(self, snapshot: Any) -> None:
        """Replace the state by that of a snapshot."""
        ...
