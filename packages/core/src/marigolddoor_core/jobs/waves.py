"""Maintenance waves in the replicated table."""

from marigolddoor_core.ids import MachineId, WaveId

__all__ = ["WaveRecord"]


class WaveRecord:
    """Machines due for maintenance. `begun` are those given to the platform so far."""

    __slots__ = (
        "begun",
        "duration_s",
        "is_finished",
        "machines",
        "max_count",
        "opened_s",
        "wave",
    )

    def __init__(
        self,
        wave: WaveId,
        machines: tuple[MachineId, ...],
        opened_s: float,
        duration_s: float,
        max_count: int,
    ) -> None:
        self.wave = wave
        self.machines = machines
        self.opened_s = opened_s
        self.duration_s = duration_s
        self.max_count = max_count
        # A dict keeps the insertion order, so that snapshots are deterministic.
        self.begun: dict[MachineId, None] = {}
        self.is_finished = False
