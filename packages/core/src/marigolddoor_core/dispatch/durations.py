"""Expected task durations, learned relative to the estimates of callers."""

from marigolddoor_core.ids import QueueName

__all__ = ["DurationEstimates"]

# The weight of a new observation. Estimates are wrong by up to a half, so the average covers a few
# dozen tasks.
LEARNING_RATE = 0.05
# The mean deviation of a ratio before the first observations.
INITIAL_DEVIATION = 0.3


class DurationEstimates:
    """The ratio of actual to estimated task duration of each queue, and its mean deviation."""

    def __init__(self) -> None:
        self.factors: dict[QueueName, float] = {}
        self.deviations: dict[QueueName, float] = {}

    def observe(self, queue: QueueName, estimated_s: float, real_s: float) -> None:
        """Update the ratio of a queue with a completed task."""
        if estimated_s <= 0:
            return
        known = self.factors.get(queue, 1.0)
        error = real_s / estimated_s - known
        self.factors[queue] = known + LEARNING_RATE * error
        deviation = self.deviations.get(queue, INITIAL_DEVIATION)
        self.deviations[queue] = deviation + LEARNING_RATE * (abs(error) - deviation)

    def expected_s(self, queue: QueueName, estimated_s: float) -> float:
        """Return the expected duration of a task."""
        return estimated_s * self.factors.get(queue, 1.0)

    def deviation_s(self, queue: QueueName, estimated_s: float) -> float:
        """Return how far the durations of such tasks are from the expected one on average."""
        return estimated_s * self.deviations.get(queue, INITIAL_DEVIATION)
