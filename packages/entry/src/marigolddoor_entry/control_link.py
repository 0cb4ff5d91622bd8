"""The link of an entry process to the control processes.

Calls go to the control process that answered last, or to the next one if it can't be reached.
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
RETRY_DELAY_S = 0.2
# A forwarded proposal takes two hops in addition to the leader's own timeout.
FORWARD_MARGIN_S = 0.5


class NoControlProcessError(UnavailableError):
    """No control process can be reached; nothing was sent."""


class ControlLink:
    """Proposes commands, watches the replicated state and sends reports.

    Args:
      pool: connections to other processes.
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
          PeerTimeoutError: the message was sent and no reply arrived.
          RemoteError: the control process refused the call.
        """
        for _ in self.addresses:
            address = self.addresses[self.current]
            try:
                return await self.pool.call(address, message, timeout_s)
            except PeerUnreachableError:
                self._switch_control_process()
            except PeerTimeoutError:
                self._switch_control_process()
                raise
        raise NoControlProcessError("no control process can be reached")

    async def watch(
        self,
        in_force: Callable[[], Revision],
        apply: Callable[[WatchReply], None],
    ) -> None:
        """Watch the state until cancelled; `apply` is called with each reply of a newer index."""
        index = LogIndex(0)
        is_interrupted = False
        while True:
            try:
                reply = await self._watch_once(index, in_force())
            except (NoControlProcessError, PeerTimeoutError, RemoteError) as error:
                # One warning for each interruption: a partition causes hundreds of failed attempts.
                logger.log(
                    "DEBUG" if is_interrupted else "WARNING",
                    "entry: the watch on the control processes was interrupted: {}",
                    error,
                )
                is_interrupted = True
                self._switch_control_process()
                await anyio.sleep(RETRY_DELAY_S)
                continue
            if is_interrupted:
                is_interrupted = False
                logger.info("entry: the watch on the control processes resumed")
            if reply.index > index:
                apply(reply)
                index = reply.index

    async def _watch_once(self, index: LogIndex, in_force: Revision) -> WatchReply:
        message = Watch(self.process, self.data_centre, index, in_force, WATCH_WAIT_S)
        reply = await self.call(message, WATCH_TIMEOUT_S)
        assert isinstance(reply, WatchReply)
        return reply

    def _switch_control_process(self) -> None:
        self.current = (self.current + 1) % len(self.addresses)
