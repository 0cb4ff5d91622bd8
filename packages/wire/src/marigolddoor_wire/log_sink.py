"""A log sink that neither blocks nor grows without bound."""

import os
from collections.abc import Callable

__all__ = ["BoundedLogSink"]

# A line takes some 50 us of a processor, so this bounds logging to 2% of a core.
LINES_PER_S = 400
# Lines that may come at once, as in an election.
BURST_LINES = 800


class BoundedLogSink:
    """Writes lines to a file descriptor, at most so many a second, and counts the others.

    A reader that does not keep up costs lines, never time: the descriptor is not waited for.

    Args:
      descriptor: where lines are written.
      clock: a steady clock in seconds.

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
        self.allowance = float(burst)
        self.refilled_at = clock()
        self.left_out = 0
        self.rest = b""
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or count it as left out."""
        now = self.clock()
        refill = (now - self.refilled_at) * self.lines_per_s
        self.allowance = min(float(self.burst), self.allowance + refill)
        self.refilled_at = now
        if self.allowance < 1:
            self.left_out += 1
            return
        if self.left_out:
            line = f"log: {self.left_out} lines were left out\n{line}"
        if self._put(line.rstrip("\n").encode("utf-8", "replace") + b"\n"):
            self.allowance -= 1
            self.left_out = 0
        else:
            self.left_out += 1

    def _put(self, data: bytes) -> bool:
        """Write whole lines; return False if nothing of `data` was taken."""
        try:
            if self.rest:
                # A line that was cut is finished before the next one begins.
                self.rest = self.rest[os.write(self.descriptor, self.rest) :]
            if self.rest:
                return False
            self.rest = data[os.write(self.descriptor, data) :]
        except BlockingIOError:
            return False
        except OSError:
            # The reader has gone. There is nowhere to tell it.
            self.rest = b""
            return False
        return True
