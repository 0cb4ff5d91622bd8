"""Time limits of the consensus protocol."""

from dataclasses import dataclass

__all__ = ["Timing"]


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations in seconds.

    The lease is 10% shorter than the shortest election timeout, because the clocks of two VMs may
    run at different rates. A leader without contact to a quorum for `quorum_lost_s` steps down.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    lease_s: float = 0.45
    quorum_lost_s: float = 1.0
    # A chunk or probe that was not answered for this long is sent again.
    resend_s: float = 0.3
    # A voter that is silent for this long is replaced if a learner can take its place. A restart
    # takes seconds; most reboots take longer and are better bridged by the spare.
    replace_after_s: float = 60.0
