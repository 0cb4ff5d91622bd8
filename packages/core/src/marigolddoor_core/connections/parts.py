"""Divides the memory and the descriptors of a process among kinds of clients."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

__all__ = ["BudgetPart", "ClientKind", "divide_budget"]

# The process itself takes 30 to 60 MB of the 200 MB of the smallest machine.
CLIENTS_SHARE = 0.5
# Bytes that are counted, of the resident memory that they may cause: the allocator keeps pages with
# gaps, and encoding a message copies it for a moment.
COUNTED_SHARE = 0.5
MEBIBYTE = 1024 * 1024


class ClientKind(Enum):
    """The clients that share a part of the budget."""

    CALLERS = "callers"
    EXECUTORS = "executors and operators"
    PEERS = "peers"
    READINESS = "readiness checks"
    METRICS = "metrics"


# Relative to the other kinds that a process serves. Peers are the processes of this system.
WEIGHTS = {
    ClientKind.CALLERS: 3.0,
    ClientKind.EXECUTORS: 3.0,
    ClientKind.PEERS: 0.5,
    ClientKind.READINESS: 0.25,
    ClientKind.METRICS: 0.25,
}
# Of all descriptors. Control processes use 0.75 for connections to executors; files need few.
DESCRIPTOR_SHARES = {
    ClientKind.CALLERS: 0.6,
    ClientKind.EXECUTORS: 0.2,
    ClientKind.PEERS: 0.05,
    ClientKind.READINESS: 0.01,
    ClientKind.METRICS: 0.01,
}
# A check of readiness must find a connection while another one is open.
LEAST_CONNECTIONS = 4


@dataclass(frozen=True, slots=True)
class BudgetPart:
    """The part of a kind of client: counted bytes, None if unlimited, and connections."""

    held_bytes: int | None
    connections: int


def divide_budget(
    memory_mb: int | None, max_descriptors: int, kinds: Collection[ClientKind]
) -> Mapping[ClientKind, BudgetPart]:
    """Return the part of each kind that a process serves.

    Args:
      memory_mb: the memory of the machine in MiB, None if it is not stated.
      max_descriptors: descriptors that the process may have open.

    Example:
      >>> divide_budget(200, 4100, list(ClientKind))[ClientKind.PEERS]
      BudgetPart(held_bytes=3744914, connections=205)
    """
    weights = sum(WEIGHTS[kind] for kind in kinds)

    def held_bytes(kind: ClientKind) -> int | None:
        if memory_mb is None:
            return None
        counted = memory_mb * MEBIBYTE * CLIENTS_SHARE * COUNTED_SHARE
        return int(counted * WEIGHTS[kind] / weights)

    return {
        kind: BudgetPart(
            held_bytes(kind),
            max(LEAST_CONNECTIONS, int(max_descriptors * DESCRIPTOR_SHARES[kind])),
        )
        for kind in kinds
    }
