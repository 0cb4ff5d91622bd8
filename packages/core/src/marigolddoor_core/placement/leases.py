"""The leader's table of task leases, which it renews without writing to the log."""

import heapq
from dataclasses import dataclass

from marigolddoor_core.ids import FencingToken, TaskId, VmId
from marigolddoor_core.state.objects import TaskRecord, TaskState

__all__ = ["LEASE_S", "LeaseRenewal", "LeaseTable", "regrant_after_s"]

LEASE_S = 45.0
# Clocks of two VMs drift apart by at most 1%; 1 s covers the rounding of timers.
DRIFT_SHARE = 0.01
DRIFT_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRenewal:
    """A renewed lease. `lease_s` counts from the moment the holder sent its report."""

    vm: VmId
    task: TaskId
    token: FencingToken
    lease_s: float


def regrant_after_s(until_s: float, lease_s: float = LEASE_S) -> float:
    """Return the time by which a lease ending at `until_s` has certainly expired at its worker."""
    return until_s + lease_s * DRIFT_SHARE + DRIFT_MARGIN_S


@dataclass(slots=True)
class _Lease:
    token: FencingToken
    until_s: float


class LeaseTable:
    """Keeps the end of each lease as the leader sees it.

    An expired lease is never renewed, even if its worker reports it later, because another grant
    may be in flight.
    """

    def __init__(self, lease_s: float = LEASE_S) -> None:
        self.lease_s = lease_s
        self.leases: dict[TaskId, _Lease] = {}
        self.ends: list[tuple[float, TaskId, FencingToken]] = []

    def apply(self, record: TaskRecord, now_s: float, inherited: bool) -> None:
        """Apply a committed record. An `inherited` lease counts as renewed at `now_s`."""
        if record.state is not TaskState.LEASED:
            self.leases.pop(record.task, None)
            return
        current = self.leases.get(record.task)
        if current is not None and current.token == record.token:
            current.until_s = max(current.until_s, record.lease_until_s)
            return
        until_s = record.lease_until_s
        if inherited:
            until_s = max(until_s, now_s + self.lease_s)
        self.leases[record.task] = _Lease(record.token, until_s)
        heapq.heappush(self.ends, (until_s, record.task, record.token))

    def renew(self, task: TaskId, token: FencingToken, now_s: float) -> bool:
        """Renew a lease that has not expired; return whether it was renewed."""
        lease = self.leases.get(task)
        if lease is None or lease.token != token or lease.until_s < now_s:
            return False
        lease.until_s = max(lease.until_s, now_s + self.lease_s)
        return True

    def until_s(self, task: TaskId) -> float:
        """Return the end of the lease of a task, or 0 if it has none."""
        lease = self.leases.get(task)
        return 0.0 if lease is None else lease.until_s

    def expired(self, now_s: float) -> list[tuple[TaskId, FencingToken]]:
        """Return the leases that have certainly expired at their workers; each is returned once."""
        expired_leases: list[tuple[TaskId, FencingToken]] = []
        while self.ends and regrant_after_s(self.ends[0][0], self.lease_s) <= now_s:
            _, task, token = heapq.heappop(self.ends)
            lease = self.leases.get(task)
            if lease is None or lease.token != token:
                continue
            if regrant_after_s(lease.until_s, self.lease_s) <= now_s:
                expired_leases.append((task, token))
            else:
                heapq.heappush(self.ends, (lease.until_s, task, token))
        return expired_leases
