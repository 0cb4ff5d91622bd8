"""Limits of time and progress for the requests of one connection."""

from dataclasses import dataclass

from marigolddoor_core.connections.accounts import Account, ConnectionPhase

__all__ = ["ConnectionLimits"]


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits in seconds, bytes and bytes a second, which hold without any shortage too.

    The defaults are for callers within the contract: 3 s for a head of 16,384 bytes, 15 s idle, and
    a body of 262,144 bytes. A body within `body_s` has made 4 KiB/s.

    `short_head_s`, `short_idle_s`, `stalled_s` and `least_rate` apply while the budget is short:
    a connection within them keeps up. TCP repeats a lost packet within `stalled_s`.

    Example:
      >>> ConnectionLimits().is_overdue(account, now=12.0)
      False
    """

    head_bytes: int = 32_768
    body_bytes: int = 300_000
    waiting_requests: int = 16
    head_s: float = 10.0
    body_s: float = 70.0
    unread_s: float = 30.0
    closing_s: float = 2.0
    idle_s: float = 75.0
    short_head_s: float = 4.0
    short_idle_s: float = 16.0
    stalled_s: float = 1.0
    least_rate: float = 4096.0

    def is_overdue(self, account: Account, now: float) -> bool:
        """Return whether the phase of a connection has lasted too long."""
        longest_s = {
            ConnectionPhase.NEW: self.idle_s,
            ConnectionPhase.IDLE: self.idle_s,
            ConnectionPhase.HEAD: self.head_s,
            ConnectionPhase.BODY: self.body_s,
            ConnectionPhase.CLOSING: self.closing_s,
        }
        if account.phase is ConnectionPhase.SENDING:
            return now - account.progressed_at > self.unread_s
        if account.phase is ConnectionPhase.WORKING:
            return False
        return now - account.phase_since > longest_s[account.phase]

    def keeps_up(self, account: Account, now: float) -> bool:
        """Return whether a connection does its part, so that a shortage must not end it."""
        age_s = now - account.phase_since
        match account.phase:
            case ConnectionPhase.WORKING:
                return True
            case ConnectionPhase.CLOSING:
                return False
            case ConnectionPhase.IDLE:
                return age_s <= self.short_idle_s
            case ConnectionPhase.NEW | ConnectionPhase.HEAD:
                return age_s <= self.short_head_s
        is_slow = account.progress_bytes < self.least_rate * (age_s - self.stalled_s)
        return now - account.progressed_at <= self.stalled_s and not is_slow
