"""Processor time and memory of a process, read from /proc."""

import os
import time
from dataclasses import dataclass
from pathlib import Path

__all__ = ["Usage", "read_usage"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KB = 1024
MB = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time, resident memory, and the time of the reading."""

    cpu_s: float
    rss_mb: float
    at_s: float

    def cpu_percent_since(self, earlier: "Usage") -> float:
        """Return the use of one core since `earlier`, in percent."""
        return 100.0 * (self.cpu_s - earlier.cpu_s) / (self.at_s - earlier.at_s)


def read_usage(pid: int) -> Usage:
    """Return the usage of process `pid` so far."""
    # utime and stime are fields 14 and 15. The name in parentheses, field 2, may contain spaces.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return Usage(cpu_s, int(line.split()[1]) * KB / MB, time.monotonic())
