"""What the stand-in targets ran, for tests that count runs."""

from collections import Counter
from dataclasses import dataclass, field

__all__ = ["Ledger"]


@dataclass(slots=True)
class Ledger:
    """Runs of requests and tasks over all stand-in targets that share it.

    `requests` counts runs by idempotency key (by request id without one), `tasks` counts starts
    and `finished_tasks` ends, both by task. `reboots` lists the VMs in the order of reboots.
    """

    requests: Counter[str] = field(default_factory=Counter)
    tasks: Counter[str] = field(default_factory=Counter)
    finished_tasks: Counter[str] = field(default_factory=Counter)
    reboots: list[str] = field(default_factory=list)
    cut_off: int = 0
