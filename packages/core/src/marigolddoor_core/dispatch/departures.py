"""Whether an executor that deregistered has ended."""

from marigolddoor_core.instants import Instant

__all__ = ["Departure"]

# An executor exits shortly after its deregistration. A later answer shows that it goes on.
EXIT_DELAY_S = 1.0


class Departure:
    """The evidence that an incarnation of an executor has ended after its deregistration.

    A deregistration is no evidence by itself. It names an executor without its incarnation, so it
    may come late from a former one, and an executor that gets no acknowledgement goes on for some
    seconds. Its runs have ended once it has also closed its connection and accepts no other one.
    Without that evidence, they have ended when its lease has expired or its next incarnation
    answers, as for any other executor.

    Example:
      departure.announce(now)
      departure.disconnected()
      assert departure.has_ended
    """

    __slots__ = ("announced_at", "is_disconnected")

    def __init__(self) -> None:
        self.announced_at: Instant | None = None
        self.is_disconnected = False

    @property
    def is_announced(self) -> bool:
        """Return whether the executor deregistered; it gets no new tasks then."""
        return self.announced_at is not None

    @property
    def has_ended(self) -> bool:
        """Return whether the executor has certainly ended."""
        return self.is_announced and self.is_disconnected

    def announce(self, now: Instant) -> None:
        """Record a deregistration; a repeated one changes nothing."""
        if self.announced_at is None:
            self.announced_at = now

    def disconnected(self) -> None:
        """Record that the executor closed its connection and accepts no other one."""
        self.is_disconnected = True

    def answered(self, is_draining: bool, now: Instant) -> bool:
        """Record an answer of the executor; return whether it is kept despite its deregistration.

        An executor that drained before has reported its end, and ends after a while. Any other one
        may not have deregistered itself.
        """
        self.is_disconnected = False
        if self.announced_at is None or is_draining or now - self.announced_at <= EXIT_DELAY_S:
            return False
        self.announced_at = None
        return True
