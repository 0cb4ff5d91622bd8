"""Timing of the consensus group of control processes."""

from marigolddoor_core.consensus import StaggeredTimeouts, Timing

__all__ = ["FLEET_TIMING", "GROUP_TIMING"]

# The leader of an idle group took 2.3% of a core with heartbeats every 100 ms, and 1.3% with these;
# a node may spend 1.4%. A lost leader is still replaced in less than 2 s.
GROUP_TIMING = Timing(
    heartbeat_s=0.25, election_min_s=0.9, election_max_s=1.4, lease_s=0.81, quorum_lost_s=1.8
)
# Jobs that wait for a new leader have a margin of 600 ms, so a lost leader is replaced in
# about 1 s. On a disk that syncs 30 times slower (180 ms), heartbeats still arrive within
# `election_min_s`. The next machine may fail 4 s after the successor of a lost one has started, so
# a voter is replaced early enough to leave time for the successor to join and catch up. The first
# start by the next leader is due 0.6 s after the loss, so the candidates follow each other from
# `election_min_s` on. With random timeouts the first of three or four began 70 to 90 ms after it.
FLEET_TIMING = Timing(
    heartbeat_s=0.12,
    election_min_s=0.5,
    election_max_s=0.85,
    lease_s=0.44,
    quorum_lost_s=1.0,
    replace_after_s=1.5,
    campaign=StaggeredTimeouts(),
)
