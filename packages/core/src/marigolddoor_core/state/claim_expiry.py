"""The decision to remove claims whose retry window has ended."""

from marigolddoor_core.actions import Action, ProposeCommand
from marigolddoor_core.fleet import Fleet
from marigolddoor_core.state.commands import ExpireClaims

__all__ = ["ClaimExpiry"]

# Expired claims cost memory only, so they are removed in batches.
EXPIRY_INTERVAL_S = 60.0


class ClaimExpiry:
    """Proposes to remove expired claims once a minute."""

    def __init__(self) -> None:
        self.last_proposed_s: float | None = None

    def decide(self, fleet: Fleet) -> tuple[Action, ...]:
        """Return the proposal if it is due."""
        if (
            self.last_proposed_s is not None
            and fleet.now_s - self.last_proposed_s < EXPIRY_INTERVAL_S
        ):
            return ()
        self.last_proposed_s = fleet.now_s
        return (ProposeCommand(ExpireClaims()),)
