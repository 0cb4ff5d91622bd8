"""Messages in which holders report their targets to other processes."""

import zlib
from dataclasses import dataclass

from marigolddoor_core.fleet import ObservedTarget
from marigolddoor_core.ids import ProcessId, VmId

__all__ = ["HolderDelta", "HolderDigest", "fingerprint"]


@dataclass(frozen=True, slots=True)
class HolderDelta:
    """Changes to the targets of a holder.

    `sequence` counts the deltas of the holder since its start. A `full` delta lists all targets as
    of its sequence number: a target that is not in it was removed.
    """

    process: ProcessId
    sequence: int
    full: bool
    targets: tuple[ObservedTarget, ...]
    gone: tuple[VmId, ...] = ()


@dataclass(frozen=True, slots=True)
class HolderDigest:
    """The number and checksum of a holder's targets as of `sequence`."""

    process: ProcessId
    sequence: int
    targets: int
    checksum: int


def fingerprint(target: ObservedTarget) -> int:
    """Return a hash of the facts of a target on which holder and directory must agree.

    The checksum of a digest is the exclusive or of these hashes, so that one target can be added
    or removed without the others.
    """
    facts = target.announcement
    text = f"{facts.vm}|{facts.incarnation}|{target.state.value}|{facts.epoch}|{facts.address}"
    return zlib.crc32(text.encode())
