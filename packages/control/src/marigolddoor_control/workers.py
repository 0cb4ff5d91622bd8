"""Client that sends orders to workers over HTTP."""

from enum import Enum
from typing import Protocol

import httpx
from marigolddoor_core.ids import Epoch
from marigolddoor_core.plain_values import to_plain
from marigolddoor_core.targets import TaskOrder

__all__ = ["HttpWorkers", "OrderOutcome", "Workers"]

TIMEOUT_S = 2.0
TASKS_PATH = "/marigolddoor/tasks"


class OrderOutcome(Enum):
    """The known outcome of a sent order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Workers(Protocol):
    """Sends orders to workers."""

    async def send(self, address: str, epoch: Epoch, order: TaskOrder) -> OrderOutcome:
        """Send one order; a lost order shows later in the worker's announcements."""
        ...


class HttpWorkers:
    """Posts orders to the HTTP address that a worker announced."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client

    async def send(self, address: str, epoch: Epoch, order: TaskOrder) -> OrderOutcome:
        """Send one order; a lost order shows later in the worker's announcements."""
        try:
            answer = await self.client.post(
                f"http://{address}{TASKS_PATH}",
                headers={"Marigolddoor-Epoch": str(epoch)},
                json=to_plain(order),
                timeout=TIMEOUT_S,
            )
        except httpx.ConnectError:
            return OrderOutcome.REFUSED
        except httpx.HTTPError:
            return OrderOutcome.UNKNOWN
        return OrderOutcome.ACCEPTED if answer.is_success else OrderOutcome.REFUSED
