"""Counters, and metrics in the Prometheus text exposition format.

Example:
  >>> counters = Counters()
  >>> counters.add(CounterKind.MOVES, Labels(pool="orders"))
  >>> print(counters.page(), end="")
  # HELP marigolddoor_moves_total VMs that began a move between pools.
  # TYPE marigolddoor_moves_total counter
  marigolddoor_moves_total{pool="orders"} 1
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, fields
from enum import Enum

__all__ = ["CounterKind", "CounterSnapshot", "Counters", "Labels", "Sample", "family_text"]


class CounterKind(Enum):
    """The kinds of events that are counted."""

    REFUSALS = "refusals"
    RETRIES = "retries"
    MOVES = "moves"
    QUESTIONS = "questions"
    FAILOVERS = "failovers"
    JOBS = "jobs"
    RUNS = "runs"
    RUNS_MISSING = "runs_missing"
    ORDERS_UNANSWERED = "orders_unanswered"
    UNEXPECTED_ERRORS = "unexpected_errors"
    LOG_LINES_LEFT_OUT = "log_lines_left_out"


_HELP = {
    CounterKind.REFUSALS: "Requests that were refused as not run.",
    CounterKind.RETRIES: "Requests that were sent to another target.",
    CounterKind.MOVES: "VMs that began a move between pools.",
    CounterKind.QUESTIONS: "Questions that were opened.",
    CounterKind.JOBS: "Submitted jobs by what became of them.",
    CounterKind.RUNS: "Runs of tasks by how they ended.",
    CounterKind.RUNS_MISSING: "Runs that count as lost because a report does not list them.",
    CounterKind.ORDERS_UNANSWERED: "Orders to executors and the platform without an answer.",
    CounterKind.UNEXPECTED_ERRORS: "Faults of the program, contained in one order or hold.",
    CounterKind.LOG_LINES_LEFT_OUT: "Log lines that were left out to bound the log.",
    CounterKind.FAILOVERS: "Changes of the leader, or of the control process that is used.",
}


@dataclass(frozen=True, slots=True, order=True)
class Labels:
    """The labels of a sample; empty ones are omitted.

    Values come from declarations and enums. Never use a request id or another unbounded value,
    because each combination uses memory for the lifetime of the process.
    """

    service: str = ""
    outcome: str = ""
    reason: str = ""
    pool: str = ""
    le: str = ""
    team: str = ""

    def text(self) -> str:
        """Return the labels in the exposition format."""
        parts = [
            f'{part.name}="{_escape(value)}"'
            for part in fields(self)
            if (value := getattr(self, part.name))
        ]
        return "{" + ",".join(parts) + "}" if parts else ""


@dataclass(frozen=True, slots=True)
class CounterSnapshot:
    """The value of one counter."""

    kind: CounterKind
    labels: Labels
    value: int


@dataclass(frozen=True, slots=True)
class Sample:
    """One line of a metric. `suffix` follows the name of the metric."""

    labels: Labels
    value: float
    suffix: str = ""


class Counters:
    """The counters of one process, or the sums of several."""

    def __init__(self) -> None:
        self.values: Counter[tuple[CounterKind, Labels]] = Counter()

    def add(self, kind: CounterKind, labels: Labels | None = None, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.values[(kind, labels or Labels())] += amount

    def snapshot(self) -> tuple[CounterSnapshot, ...]:
        """Return all counters."""
        return tuple(
            CounterSnapshot(kind, labels, value)
            for (kind, labels), value in sorted(
                self.values.items(), key=lambda item: (item[0][0].value, item[0][1])
            )
        )

    def merge(self, snapshots: Iterable[CounterSnapshot]) -> None:
        """Add the counters of another process."""
        for snapshot in snapshots:
            self.add(snapshot.kind, snapshot.labels, snapshot.value)

    def page(self) -> str:
        """Return the counters in the exposition format. Counters at 0 are absent."""
        snapshot = self.snapshot()
        return "".join(
            family_text(
                f"marigolddoor_{kind.value}_total",
                _HELP[kind],
                "counter",
                [Sample(one.labels, one.value) for one in snapshot if one.kind is kind],
            )
            for kind in CounterKind
        )


def family_text(name: str, help_text: str, kind: str, samples: Sequence[Sample]) -> str:
    """Return one metric in the exposition format, or an empty text without samples."""
    if not samples:
        return ""
    lines = [f"# HELP {name} {help_text}", f"# TYPE {name} {kind}"]
    lines += [
        f"{name}{sample.suffix}{sample.labels.text()} {sample.value:.12g}" for sample in samples
    ]
    return "\n".join(lines) + "\n"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
