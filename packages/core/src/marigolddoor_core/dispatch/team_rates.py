"""Jobs that teams submit beyond the rate that they agreed on.

Meant for a team that sends several times its usual load to a pool in which the others need all the
room. Shares alone give such a team what others leave for a moment, so that the others find less
when their own load varies.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass

from marigolddoor_core.ids import JobId, TeamId
from marigolddoor_core.jobs import JobPhase, JobRecord

__all__ = ["TeamRates"]

# A team may send this many seconds' worth of its rate at once. A team with a single queue sends
# five times the queue's usual load during a peak of 4 s, which is 3.1 times its mean with the quiet
# phase counted, and 8.4 seconds' worth beyond the mean.
BURST_S = 10.0


@dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_s: float


class TeamRates:
    """Marks jobs beyond their team's rate, by one token bucket per team.

    Times are those at which jobs were accepted, which are in the replicated table. So a new leader
    that passes in the jobs of the table marks nearly the same jobs as its predecessor; only the
    use before the oldest job that the table retains is unknown to it.

    Args:
      rate_of: returns the jobs a second that a team agreed on, or None if it has no agreed rate.
    """

    def __init__(self, rate_of: Callable[[TeamId], float | None]) -> None:
        self.rate_of = rate_of
        self.buckets: dict[TeamId, _Bucket] = {}
        self.beyond: set[JobId] = set()

    def take_over(self, jobs: Iterable[JobRecord]) -> None:
        """Count the jobs of the replicated table."""
        for job in sorted(jobs, key=lambda job: job.accepted_s):
            self.accepted(job)

    def accepted(self, job: JobRecord) -> None:
        """Count a job, and mark it if it is beyond the rate of its team."""
        rate = self.rate_of(job.team)
        if rate is None:
            return
        # A rate below one job in the burst's time still allows one job at a time.
        limit = max(1.0, rate * BURST_S)
        bucket = self.buckets.setdefault(job.team, _Bucket(limit, job.accepted_s))
        elapsed_s = max(0.0, job.accepted_s - bucket.filled_s)
        bucket.tokens = min(limit, bucket.tokens + elapsed_s * rate)
        bucket.filled_s = max(bucket.filled_s, job.accepted_s)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
        elif job.phase is JobPhase.ACTIVE:
            self.beyond.add(job.job)

    def ended(self, job: JobId) -> None:
        """Forget the mark of a job that has ended."""
        self.beyond.discard(job)

    def is_beyond(self, job: JobId) -> bool:
        """Return whether a job was beyond the rate of its team."""
        return job in self.beyond

    def keep(self, teams: Container[TeamId]) -> None:
        """Forget the buckets of all other teams."""
        self.buckets = {team: bucket for team, bucket in self.buckets.items() if team in teams}
