"""The state machine that the group replicates."""

from typing import Any, Protocol

from marigolddoor_core.ids import LogIndex
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.results import Result

__all__ = ["ReplicatedMachine"]


class ReplicatedMachine(Protocol):
    """Applies committed commands in log order, with the same results on every replica."""

    def apply(self, index: LogIndex, command: Command) -> Result:
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
