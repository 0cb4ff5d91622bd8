"""Counts runs on stand-in targets, for tests that check how often work ran."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Ledger"]


@dataclass(slots=True)
class Ledger:
    """Runs of requests and tasks on all stand-in targets that share the ledger.

    `requests` counts runs by idempotency key (by request id without one), `tasks` counts starts
    and `finished_tasks` completions, both by task. `reboots` lists VMs in the order of reboots.
    `interrupted_requests` counts requests that were cancelled before their answer.
    """

    requests: Counter[str] = field(default_factory=Counter)
    tasks: Counter[str] = field(default_factory=Counter)
    finished_tasks: Counter[str] = field(default_factory=Counter)
    reboots: list[str] = field(default_factory=list)
    interrupted_requests: int = 0
