"""A fleet in virtual time, for tests and measurements of the leader's decisions."""

from marigolddoor_standins.virtual.fleet import VirtualFleet
from marigolddoor_standins.virtual.state import VirtualState
from marigolddoor_standins.virtual.workers import JobBehaviour, VirtualWorker

__all__ = ["JobBehaviour", "VirtualFleet", "VirtualState", "VirtualWorker"]
