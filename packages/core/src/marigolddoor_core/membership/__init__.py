"""Membership and failure detection of the targets of a data centre."""

from marigolddoor_core.membership.assignments import Assignments
from marigolddoor_core.membership.deltas import HolderDelta, HolderDigest
from marigolddoor_core.membership.directory import DeltaOutcome, TargetDirectory
from marigolddoor_core.membership.failure_detector import FailureDetector
from marigolddoor_core.membership.holder import DIGEST_INTERVAL_S, TargetHolder
from marigolddoor_core.membership.members import Members

__all__ = [
    "DIGEST_INTERVAL_S",
    "Assignments",
    "DeltaOutcome",
    "FailureDetector",
    "HolderDelta",
    "HolderDigest",
    "Members",
    "TargetDirectory",
    "TargetHolder",
]
