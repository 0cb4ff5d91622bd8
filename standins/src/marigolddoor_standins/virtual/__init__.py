"""A simulated fleet in virtual time, to test and measure the leader's decisions."""

from marigolddoor_standins.virtual.fleet import VirtualFleet
from marigolddoor_standins.virtual.state import VirtualState
from marigolddoor_standins.virtual.workers import JobBehaviour, VirtualWorker

__all__ = ["JobBehaviour", "VirtualFleet", "VirtualState", "VirtualWorker"]
