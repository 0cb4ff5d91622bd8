"""The link of an entry process to the control processes.

Calls go to the control process that answered last, and to the next one when it can't be reached.
"""

from collections.abc import Callable
from typing import Any

import anyio
from loguru import logger
from marigolddoor_core.errors import UnavailableError
from marigolddoor_core.ids import DataCentreId, LogIndex, ProcessId, Revision
from marigolddoor_core.ports import NoQuorumError, ProposalOutcomeUnknownError
from marigolddoor_core.state.commands import Command
from marigolddoor_core.state.results import Result
from marigolddoor_wire.errors import PeerTimeoutError, PeerUnreachableError, RemoteError
from marigolddoor_wire.messages import ErrorKind, Propose, ProposeReply, Watch, WatchReply
from marigolddoor_wire.peers import Address, PeerPool

__all__ = ["ControlLink", "NoControlProcessError"]

WATCH_WAIT_S = 5.0
WATCH_TIMEOUT_S = 8.0
CALL_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.2
# A forwarded proposal needs the time of the leader's own timeout and two hops.
FORWARD_MARGIN_S = 0.5


class NoControlProcessError(UnavailableError):
    """No control process can be reached; nothing was sent."""


class ControlLink:
    """Proposes commands, watches the state and sends reports.

    Args:
      pool: links to other processes.
      addresses: control processes, the one of this data centre first.
      process: this entry process.
      data_centre: its data centre.
    """

    def __init__(
        self,
        pool: PeerPool,
        addresses: tuple[Address, ...],
        process: ProcessId,
        data_centre: DataCentreId,
    ) -> None:
        self.pool = pool
        self.addresses = addresses
        self.process = process
        self.data_centre = data_centre
        self.current = 0

    async def propose(self, command: Command, timeout_s: float = 5.0) -> Result:
        """Return the result of `command` after it is committed and applied.

        Raises:
          NoQuorumError: nothing was accepted and nothing will change.
          ProposalOutcomeUnknownError: the command may still be committed.
        """
        try:
            reply = await self.call(Propose(command, timeout_s), timeout_s + FORWARD_MARGIN_S)
        except NoControlProcessError as error:
            raise NoQuorumError(str(error)) from error
        except PeerTimeoutError as error:
            raise ProposalOutcomeUnknownError(str(error)) from error
        except RemoteError as error:
            if error.kind is ErrorKind.NO_QUORUM:
                raise NoQuorumError(error.detail) from error
            raise ProposalOutcomeUnknownError(error.detail) from error
        assert isinstance(reply, ProposeReply)
        return reply.result

    async def call(self, message: Any, timeout_s: float = CALL_TIMEOUT_S) -> Any:
        """Return the reply of the first control process that can be reached.

        Raises:
          NoControlProcessError: none can be reached.
          PeerTimeoutError: the message was sent and no reply came.
          RemoteError: the control process refused.
        """
        for _ in self.addresses:
            address = self.addresses[self.current]
            try:
                return await self.pool.call(address, message, timeout_s)
            except PeerUnreachableError:
                self._next()
            except PeerTimeoutError:
                self._next()
                raise
        raise NoControlProcessError("no control process can be reached")

    async def watch(
        self,
        in_force: Callable[[], Revision],
        apply: Callable[[WatchReply], None],
    ) -> None:
        """Follow the state until cancelled; `apply` gets each reply that has news."""
        index = LogIndex(0)
        is_interrupted = False
        while True:
            try:
                reply = await self._watch_once(index, in_force())
            except (NoControlProcessError, PeerTimeoutError, RemoteError) as error:
                # One line for each interruption: a partition lasts for hundreds of tries.
                logger.log(
                    "DEBUG" if is_interrupted else "WARNING",
                    "entry: the watch was interrupted. {}",
                    error,
                )
                is_interrupted = True
                self._next()
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if is_interrupted:
                is_interrupted = False
                logger.info("entry: the watch goes on.")
            if reply.index > index:
                apply(reply)
                index = reply.index

    async def _watch_once(self, index: LogIndex, in_force: Revision) -> WatchReply:
        message = Watch(self.process, self.data_centre, index, in_force, WATCH_WAIT_S)
        reply = await self.call(message, WATCH_TIMEOUT_S)
        assert isinstance(reply, WatchReply)
        return reply

    def _next(self) -> None:
        self.current = (self.current + 1) % len(self.addresses)
