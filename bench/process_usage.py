"""What a process used, read from the kernel's accounts of it."""

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
    """Processor time, resident memory, and the moment of the reading."""

    cpu_s: float
    rss_mb: float
    at_s: float

    def cpu_percent_since(self, earlier: "Usage") -> float:
        """Return the share of one core that was used since `earlier`, in percent."""
        return 100.0 * (self.cpu_s - earlier.cpu_s) / (self.at_s - earlier.at_s)


def read_usage(pid: int) -> Usage:
    """Return what process `pid` has used so far."""
    # Fields 14 and 15 of the line, after the name in parentheses.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return Usage(cpu_s, int(line.split()[1]) * KB / MB, time.monotonic())
