"""An event loop in virtual time, for reproducible runs of the real coroutines.

Waiting takes no real time and there are no sockets, so a seed gives the same run each time.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

__all__ = ["StalledError", "run_in_virtual_time"]


class StalledError(Exception):
    """Every task waits for another one and no timer is set, so virtual time can't advance."""


class _VirtualSelector(selectors.SelectSelector):
    """Reports no events, and advances the virtual time by the timeout at once."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise StalledError("no timer is set and every task waits")
        self.now += max(0.0, timeout)
        return []


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.selector = _VirtualSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now


def run_in_virtual_time(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    """Run a coroutine function in virtual time and return its result.

    Raises:
      StalledError: every task waits for another one.
    """
    return anyio.run(function, *arguments, backend_options={"loop_factory": _VirtualLoop})
