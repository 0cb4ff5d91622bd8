"""Timeouts of the consensus protocol."""

from dataclasses import dataclass

from marigolddoor_core.consensus.campaign_timing import (
    CampaignTiming,
    RandomTimeouts,
    Timeouts,
)

__all__ = ["Timing"]


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in seconds.

    The lease is 10% shorter than the shortest election timeout, because the clocks of two VMs may
    run at different rates. A leader without contact to a quorum for `quorum_lost_s` steps down.
    `campaign` decides when a voter begins a pre-vote.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    lease_s: float = 0.45
    quorum_lost_s: float = 1.0
    # A chunk without a reply is sent again after this time.
    resend_s: float = 0.3
    # A voter that is unresponsive for this long is replaced if a learner has caught up. Until then
    # the group survives one failure less, although enough machines are up. A voter that returns
    # joins again as a learner, so replacing it early costs a few log entries. The time exceeds
    # `quorum_lost_s`, so that a leader that was itself cut off steps down first.
    replace_after_s: float = 2.0
    campaign: CampaignTiming = RandomTimeouts()

    @property
    def timeouts(self) -> Timeouts:
        """Return the range of the election timeouts."""
        return Timeouts(self.election_min_s, self.election_max_s)
