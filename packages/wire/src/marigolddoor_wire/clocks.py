"""Clocks of the machine that leases and the age of answers are measured on."""

import time

__all__ = ["boot_time"]


def boot_time() -> float:
    """Return a steady time in seconds that also counts while the VM is suspended.

    A leader that resumes after a suspension must not treat its lease as valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
