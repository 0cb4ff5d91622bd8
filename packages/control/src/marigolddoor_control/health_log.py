"""Log lines of the leader about the members of the group."""

import math

from loguru import logger
from marigolddoor_core.consensus import GroupHealth, Replica
from marigolddoor_core.instants import Instant

__all__ = ["HealthLog"]

# The leader looks for members that no longer answer at this interval, not after each message.
HEALTH_INTERVAL_S = 0.5


class HealthLog:
    """Logs the members and which of them answer, each time that this changes."""

    def __init__(self) -> None:
        self.logged: GroupHealth | None = None
        self.due = -math.inf

    def update(self, replica: Replica, now: Instant) -> None:
        """Log the health of the group if it is due and has changed."""
        if now < self.due:
            return
        self.due = now + HEALTH_INTERVAL_S
        health = replica.health(now) if replica.accepts_commands else None
        if health is None or health == self.logged:
            return
        self.logged = health
        logger.info(
            "agreement: voters {}; learners {}; unresponsive {}; catching up {}; tolerates {} more"
            " failures",
            ", ".join(health.configuration.voter_ids),
            ", ".join(member.replica for member in health.configuration.learners) or "none",
            ", ".join(health.unresponsive) or "none",
            ", ".join(health.behind) or "none",
            health.tolerated_failures,
        )
