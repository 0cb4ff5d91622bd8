"""Sizes of the messages between replicas."""

from dataclasses import dataclass

__all__ = ["Limits"]


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, well below the limit of a frame (4 MiB).

    They are also short enough not to hold up a heartbeat on the same link.
    """

    message_bytes: int = 512 * 1024
    chunk_bytes: int = 256 * 1024
