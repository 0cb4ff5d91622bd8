"""The budget of bytes and connections of one kind of client."""

from collections.abc import Iterator
from dataclasses import dataclass

from marigolddoor_core.connections.accounts import Account, ConnectionId
from marigolddoor_core.connections.parts import BudgetPart
from marigolddoor_core.connections.shed_order import ShedOrder

__all__ = ["ByteBudget", "Decision"]

# A connection that holds no more than this may use the last part of the budget, so that large
# requests in progress leave room for ordinary ones.
SMALL_BYTES = 32 * 1024
LARGE_SHARE = 15 / 16
# Ordering the candidates takes time for each connection, so a search that found none is repeated
# only after this time. A connection is behind after a second at the earliest.
SEARCH_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class Decision:
    """Whether there is room, and the connections to end for it."""

    is_granted: bool
    shed: tuple[Account, ...] = ()


class ByteBudget:
    """Accounts for what is held for each connection of a kind of client.

    The caller ends the connections of a decision and sets what they hold then.

    Example:
      >>> budget = ByteBudget(BudgetPart(1000, 10), KeepAll())
      >>> account, shed = budget.open(now=0.0)
      >>> budget.hold(account, 2000, now=0.1).is_granted
      False
    """

    def __init__(self, part: BudgetPart, order: ShedOrder) -> None:
        self.part = part
        self.order = order
        self.accounts: dict[ConnectionId, Account] = {}
        self.held_bytes = 0
        self.last_id = 0
        self.searched_at = float("-inf")

    def open(self, now: float) -> tuple[Account | None, tuple[Account, ...]]:
        """Return the account of a new connection, None if there is no room, and whom to end."""
        shed: tuple[Account, ...] = ()
        if len(self.accounts) >= self.part.connections:
            shed = tuple(self._candidates(now))[:1]
            if not shed:
                return None, ()
        self.last_id += 1
        account = Account(ConnectionId(self.last_id), now, now)
        self.accounts[account.id] = account
        return account, shed

    def close(self, account: Account) -> None:
        """Forget a connection."""
        if self.accounts.pop(account.id, None) is not None:
            self.held_bytes -= account.held_bytes

    def release(self, account: Account, held_bytes: int) -> None:
        """Record that a connection holds less, or what it can't be refused any more."""
        if account.id in self.accounts:
            self.held_bytes += held_bytes - account.held_bytes
        account.held_bytes = held_bytes

    def hold(self, account: Account, held_bytes: int, now: float) -> Decision:
        """Let a connection hold more if there is room, or room can be made."""
        if held_bytes <= account.held_bytes:
            self.release(account, held_bytes)
            return Decision(True)
        missing = self._missing(account, held_bytes)
        shed: list[Account] = []
        for candidate in self._candidates(now) if missing > 0 else ():
            if candidate is not account:
                shed.append(candidate)
                missing -= candidate.held_bytes
            if missing <= 0:
                break
        if missing > 0:
            return Decision(False)
        self.release(account, held_bytes)
        return Decision(True, tuple(shed))

    def _missing(self, account: Account, held_bytes: int) -> int:
        if self.part.held_bytes is None:
            return 0
        share = 1.0 if held_bytes <= SMALL_BYTES else LARGE_SHARE
        total = self.held_bytes + held_bytes - account.held_bytes
        return total - int(self.part.held_bytes * share)

    def _candidates(self, now: float) -> Iterator[Account]:
        if now - self.searched_at < SEARCH_INTERVAL_S:
            return
        candidates = self.order.candidates(self.accounts.values(), now)
        if not candidates:
            self.searched_at = now
        yield from candidates
