"""Loopback addresses that belong to one process, for systems on one machine.

A port that was found to be free may be taken before a process listens on it: by another run, or by
an outgoing connection, which gets its port from the same range. So each process claims a block of
addresses out of 127.0.0.0/8 and hands out their ports once each. Outgoing connections come from
127.0.0.1, which is in no block.
"""

import itertools
import os
import socket

__all__ = ["LoopbackBlock", "free_address", "free_host", "free_port"]

# A block is claimed by binding this port on its first address.
CLAIM_PORT = 9999
BLOCKS = 65_000
HOSTS_PER_BLOCK = 250
FIRST_PORT = 10_000
LAST_PORT = 65_535


class LoopbackBlock:
    """A block of 250 loopback addresses that no other process uses while this one runs."""

    def __init__(self, preferred: int) -> None:
        for attempt in range(BLOCKS):
            # Blocks 0 to 255 hold the addresses that tests and examples name literally.
            number = 256 + (preferred + attempt) % BLOCKS
            self.prefix = f"127.{number // 256}.{number % 256}"
            self.claim = socket.socket()
            try:
                self.claim.bind((f"{self.prefix}.1", CLAIM_PORT))
            except OSError:
                self.claim.close()
                continue
            break
        else:
            raise OSError("every block of loopback addresses is claimed")
        self.hosts = itertools.cycle(range(2, 2 + HOSTS_PER_BLOCK))
        self.ports = itertools.cycle(range(FIRST_PORT, LAST_PORT + 1))

    def free_host(self) -> str:
        """Return the next address of the block; after the last one comes the first again."""
        return f"{self.prefix}.{next(self.hosts)}"

    def free_port(self) -> int:
        """Return the next port, which is free on all addresses of the block."""
        return next(self.ports)


_blocks: dict[int, LoopbackBlock] = {}


def _own_block() -> LoopbackBlock:
    # A forked process inherits the claim of its parent and needs a block of its own.
    process = os.getpid()
    if process not in _blocks:
        _blocks[process] = LoopbackBlock(process)
    return _blocks[process]


def free_host() -> str:
    """Return an address that only this process uses."""
    return _own_block().free_host()


def free_port() -> int:
    """Return a port that is free on all addresses that `free_host` returned."""
    return _own_block().free_port()


def free_address() -> str:
    """Return an unused IP:PORT."""
    return f"{free_host()}:{free_port()}"
