"""How long tasks take, learned against what their callers estimated."""

from marigolddoor_core.ids import QueueName

__all__ = ["DurationEstimates"]

# The weight of one more observation. Estimates are off by up to a half, so some dozens count.
LEARNING_RATE = 0.05


class DurationEstimates:
    """A factor for each queue from the estimated to the real duration of a task."""

    def __init__(self) -> None:
        self.factors: dict[QueueName, float] = {}

    def observe(self, queue: QueueName, estimated_s: float, real_s: float) -> None:
        """Learn from a task that ended done."""
        if estimated_s <= 0:
            return
        known = self.factors.get(queue, 1.0)
        self.factors[queue] = known + LEARNING_RATE * (real_s / estimated_s - known)

    def expected_s(self, queue: QueueName, estimated_s: float) -> float:
        """Return the expected duration of a task."""
        return estimated_s * self.factors.get(queue, 1.0)
