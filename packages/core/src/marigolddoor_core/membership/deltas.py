"""What holders tell the other processes about their targets."""

import zlib
from dataclasses import dataclass

from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import ProcessId, VmId

__all__ = ["HolderDelta", "HolderDigest", "fingerprint"]


@dataclass(frozen=True, slots=True)
class HolderDelta:
    """Changes of a holder's targets.

    `sequence` counts the deltas of the holder since its start. With `full` the list is complete as
    of that sequence number: a target of the holder that is not in it has gone.
    """

    process: ProcessId
    sequence: int
    full: bool
    targets: tuple[ObservedTarget, ...]
    gone: tuple[VmId, ...] = ()


@dataclass(frozen=True, slots=True)
class HolderDigest:
    """The number of a holder's targets and a checksum over them, as of `sequence`."""

    process: ProcessId
    sequence: int
    targets: int
    checksum: int


def fingerprint(target: ObservedTarget) -> int:
    """Return a number for the facts of a target on which holder and directory must agree.

    The checksum of a digest is the exclusive or of these numbers, so that one target can be added
    or taken out without the others.
    """
    facts = target.announcement
    text = f"{facts.vm}|{facts.incarnation}|{target.state.value}|{facts.epoch}|{facts.address}"
    return zlib.crc32(text.encode())
