"""Peers that have stopped serving, as far as their connections show it."""

from marigolddoor_wire.peers import Address

__all__ = ["PeerClosings"]

# A forwarder accepts connections for a peer that has ended, and closes them at once. A single
# connection may also be closed because the peer has too many.
MAX_CLOSED_ATTEMPTS = 2


class PeerClosings:
    """Tracks which peers closed a connection in an orderly way and can't be called since.

    A partition may reset connections and refuse new ones while the peer goes on, but it does not
    end the stream of bytes that the peer sent. So only an orderly close begins an entry. It lasts
    until the peer answers a call, or keeps a connection open without an answer.

    Example:
      closings.closed(address, has_answered=True)
      closings.unreachable(address)
      assert closings.has_ended(address)
    """

    def __init__(self) -> None:
        # The new connections that were closed without an answer, by peer.
        self.attempts: dict[Address, int] = {}

    def closed(self, address: Address, has_answered: bool) -> None:
        """Record that a peer closed a connection in an orderly way.

        `has_answered` tells whether the connection had carried an answer before.
        """
        if address in self.attempts:
            self.attempts[address] += 0 if has_answered else 1
        elif has_answered:
            self.attempts[address] = 0

    def unreachable(self, address: Address) -> None:
        """Record that no connection to a peer could be opened."""
        if address in self.attempts:
            self.attempts[address] = MAX_CLOSED_ATTEMPTS

    def forget(self, address: Address) -> None:
        """Drop what is known of a peer, because it is there or is no longer called."""
        self.attempts.pop(address, None)

    def has_ended(self, address: Address) -> bool:
        """Return whether a peer has stopped serving."""
        return self.attempts.get(address, 0) >= MAX_CLOSED_ATTEMPTS
