"""The state machine that the group replicates."""

from typing import Any, Protocol

from marigolddoor_core.ids import LogIndex

__all__ = ["ReplicatedStateMachine"]


class ReplicatedStateMachine(Protocol):
    """Applies committed commands in log order, with the same results on every replica.

    Its commands and results are dataclasses that the codec knows; a command has a field `time_s`,
    which the leader sets.
    """

    def apply(self, index: LogIndex, command: Any) -> Any:
        """Apply the command at `index`."""
        ...

    def snapshot(self) -> Any:
        """Return the state as a frozen dataclass that the codec can encode.

        It stays as it is when the state changes. The driver encodes it in parts, each with a share
        of the items of its tuple fields, so the items of a large state belong in tuples.
        """
        ...

    def restore(self, snapshot: Any) -> None:
        """Replace the state."""
        ...
