"""Expected task durations, learned relative to the estimates of callers."""

from marigolddoor_core.ids import QueueName

__all__ = ["DurationEstimates"]

# The weight of a new observation. Estimates are wrong by up to a half, so the average covers a few
# dozen tasks.
LEARNING_RATE = 0.05


class DurationEstimates:
    """The ratio of actual to estimated task duration of each queue."""

    def __init__(self) -> None:
        self.factors: dict[QueueName, float] = {}

    def observe(self, queue: QueueName, estimated_s: float, real_s: float) -> None:
        """Update the ratio of a queue with a completed task."""
        if estimated_s <= 0:
            return
        known = self.factors.get(queue, 1.0)
        self.factors[queue] = known + LEARNING_RATE * (real_s / estimated_s - known)

    def expected_s(self, queue: QueueName, estimated_s: float) -> float:
        """Return the expected duration of a task."""
        return estimated_s * self.factors.get(queue, 1.0)
