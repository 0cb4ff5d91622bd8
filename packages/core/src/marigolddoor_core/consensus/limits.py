"""Size limits of the messages between replicas."""

from dataclasses import dataclass

__all__ = ["Limits"]


@dataclass(frozen=True, slots=True)
class Limits:
    """Sizes in bytes, well below the frame limit (4 MiB).

    They are also small enough not to delay a heartbeat on the same connection.
    """

    message_bytes: int = 512 * 1024
    chunk_bytes: int = 256 * 1024
