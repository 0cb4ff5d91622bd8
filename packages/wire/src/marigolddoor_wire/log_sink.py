"""A log sink that never blocks and limits the rate of lines."""

import os
from collections.abc import Callable

__all__ = ["BoundedLogSink"]

# A line takes about 50 us of processor time, so this limits logging to 2% of a core.
LINES_PER_S = 400
# Lines that may be written at once, as in an election.
BURST_LINES = 800


class BoundedLogSink:
    """Writes lines to a file descriptor up to a rate limit (token bucket), and counts the others.

    If the reader does not keep up, lines are dropped: the process never waits for the descriptor.

    Args:
      descriptor: file descriptor to which lines are written.
      clock: a monotonic clock in seconds.

    Example:
      >>> sink = BoundedLogSink(1, time.monotonic)
      >>> sink.write("fleet: started")
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float],
        lines_per_s: int = LINES_PER_S,
        burst: int = BURST_LINES,
    ) -> None:
        self.descriptor = descriptor
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.burst = burst
        self.tokens = float(burst)
        self.refilled_at = clock()
        self.left_out = 0
        self.unwritten = b""
        os.set_blocking(descriptor, False)

    def admits(self, record: object = None) -> bool:
        """Return whether a line may be written now; if not, count it as left out.

        As the filter of a handler it saves the formatting of lines that would be left out.
        """
        now = self.clock()
        refill = (now - self.refilled_at) * self.lines_per_s
        self.tokens = min(float(self.burst), self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        return True

    def write(self, line: str) -> None:
        """Write a line, or count it as left out."""
        if not self.admits():
            return
        if self.left_out:
            line = f"log: {self.left_out} lines were left out\n{line}"
        if self._write_line(line.rstrip("\n").encode("utf-8", "replace") + b"\n"):
            self.tokens -= 1
            self.left_out = 0
        else:
            self.left_out += 1

    def _write_line(self, data: bytes) -> bool:
        """Write whole lines; return False if no byte of `data` was written."""
        try:
            if self.unwritten:
                # Completes a partly written line before the next one begins.
                self.unwritten = self.unwritten[os.write(self.descriptor, self.unwritten) :]
            if self.unwritten:
                return False
            self.unwritten = data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has closed the pipe, and there is no other place to report it.
            self.unwritten = b""
            return False
        return True
