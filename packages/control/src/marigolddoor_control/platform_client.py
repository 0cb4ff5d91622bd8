"""Calls to the platform, which reboots VMs."""

from typing import Protocol

import httpx
from marigolddoor_core.errors import UnavailableError
from marigolddoor_core.ids import VmId

__all__ = ["HttpPlatform", "Platform", "PlatformError", "UnconfiguredPlatform"]

TIMEOUT_S = 5.0


class PlatformError(UnavailableError):
    """The platform did not accept a call; it may be made again with the same request."""


class Platform(Protocol):
    """What marigolddoor asks of the platform."""

    async def reboot(self, vm: VmId, request: str) -> None:
        """Ask for a reboot of `vm`, once for each `request`.

        Raises:
          PlatformError: the platform did not accept the call.
        """
        ...


class UnconfiguredPlatform:
    """Stands for the platform where the settings name none."""

    async def reboot(self, vm: VmId, request: str) -> None:
        """Raise `PlatformError`."""
        raise PlatformError(f"reboot of {vm}: the settings name no platform")


class HttpPlatform:
    """The platform's HTTP interface at `url`."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self.client = client
        self.url = url.rstrip("/")

    async def reboot(self, vm: VmId, request: str) -> None:
        """Ask for a reboot of `vm`, once for each `request`.

        Raises:
          PlatformError: the platform did not accept the call.
        """
        try:
            answer = await self.client.post(
                f"{self.url}/vms/{vm}/reboot",
                headers={"Idempotency-Key": request},
                timeout=TIMEOUT_S,
            )
        except httpx.HTTPError as error:
            raise PlatformError(f"reboot of {vm}: {type(error).__name__}") from error
        if answer.status_code not in (200, 202):
            raise PlatformError(f"reboot of {vm}: status {answer.status_code}")
