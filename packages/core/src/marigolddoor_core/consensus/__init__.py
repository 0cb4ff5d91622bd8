"""The Raft consensus group: replicated log, elections, membership changes and snapshots."""

from marigolddoor_core.consensus.campaign_timing import (
    CampaignTiming,
    RandomTimeouts,
    StaggeredTimeouts,
)
from marigolddoor_core.consensus.configuration import Configuration, Member
from marigolddoor_core.consensus.entries import Entry, SnapshotMeta
from marigolddoor_core.consensus.errors import ChangeRefusedError, NotLeaderError
from marigolddoor_core.consensus.group_health import GroupHealth
from marigolddoor_core.consensus.limits import Limits
from marigolddoor_core.consensus.outputs import Output, ReadId, RecoveredState, WriteNumber
from marigolddoor_core.consensus.replica import Replica
from marigolddoor_core.consensus.roles import Role
from marigolddoor_core.consensus.state_machine import ReplicatedStateMachine
from marigolddoor_core.consensus.timing import Timing

__all__ = [
    "CampaignTiming",
    "ChangeRefusedError",
    "Configuration",
    "Entry",
    "GroupHealth",
    "Limits",
    "Member",
    "NotLeaderError",
    "Output",
    "RandomTimeouts",
    "ReadId",
    "RecoveredState",
    "Replica",
    "ReplicatedStateMachine",
    "Role",
    "SnapshotMeta",
    "StaggeredTimeouts",
    "Timing",
    "WriteNumber",
]
