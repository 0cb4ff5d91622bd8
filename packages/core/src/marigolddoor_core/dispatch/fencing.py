"""Fencing tokens of calls to executors: a higher one for each incarnation that a leader calls.

A call names an executor and not its incarnation, so one that was sent to an incarnation that has
ended may be carried out by the next one, seconds later. An executor ignores calls with a lower
token than the highest one it has seen.
"""

from marigolddoor_core.ids import FencingToken

__all__ = ["executor_token", "leadership_token"]

# Bits for the incarnations of one executor during one leadership. Terms may have up to 33 bits, so
# that the token is exact also where numbers are double floats.
INCARNATION_BITS = 20


def executor_token(leadership: FencingToken, predecessors: int) -> FencingToken:
    """Return the token of calls to an incarnation of an executor.

    It is higher than those of earlier leaderships, and than those of the calls to the earlier
    incarnations of the executor.

    Args:
      leadership: the token of the leadership.
      predecessors: how many earlier incarnations of the executor this leadership has called.
    """
    return FencingToken(
        (leadership << INCARNATION_BITS) + min(predecessors, (1 << INCARNATION_BITS) - 1)
    )


def leadership_token(token: FencingToken) -> FencingToken:
    """Return the token of the leadership that a token of a call belongs to."""
    return FencingToken(token >> INCARNATION_BITS)
