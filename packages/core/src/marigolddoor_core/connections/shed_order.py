"""Which connections are ended when the budget of their kind runs short.

The load: hundreds of connections that each send most of a large request and then nothing, or read
no answers, while ordinary callers send small requests.
"""

from collections.abc import Iterable
from typing import Protocol

from marigolddoor_core.connections.accounts import Account, ConnectionPhase
from marigolddoor_core.connections.limits import ConnectionLimits

__all__ = ["KeepAll", "LeastProgressFirst", "ShedOrder"]


class ShedOrder(Protocol):
    """Orders the connections that may be ended."""

    def candidates(self, accounts: Iterable[Account], now: float) -> list[Account]:
        """Return the connections that may be ended, the first to end first."""
        ...


class KeepAll:
    """The baseline: what is held stays until it is done, and new requests are refused."""

    def candidates(self, accounts: Iterable[Account], now: float) -> list[Account]:
        """Return no connection."""
        return []


class LeastProgressFirst:
    """Ends the connections with the least progress, and never one that keeps up.

    Among those with the same progress, in whole seconds without any, the one that holds most goes
    first, then the one that is unfinished for longest.

    Example:
      >>> LeastProgressFirst(ConnectionLimits()).candidates(accounts, now=12.0)
      []
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits

    def candidates(self, accounts: Iterable[Account], now: float) -> list[Account]:
        """Return the connections that don't keep up."""
        behind = [account for account in accounts if not self.limits.keeps_up(account, now)]

        def rank(account: Account) -> tuple[bool, int, int, float]:
            return (
                # Its answer has been sent; only the client's end of the connection is missing.
                account.phase is not ConnectionPhase.CLOSING,
                -int(now - account.progressed_at),
                -account.held_bytes,
                account.phase_since,
            )

        return sorted(behind, key=rank)
