"""Client of the platform, which reboots VMs."""

from typing import Protocol

import httpx
from marigolddoor_core.errors import UnavailableError
from marigolddoor_core.ids import VmId

__all__ = ["HttpPlatform", "Platform", "PlatformError", "UnconfiguredPlatform"]

TIMEOUT_S = 5.0


class PlatformError(UnavailableError):
    """The platform did not accept a call; it may be repeated with the same request id."""


class Platform(Protocol):
    """The operations that marigolddoor calls on the platform."""

    async def reboot(self, vm: VmId, request: str) -> None:
        """Request a reboot of `vm`; `request` is the idempotency key.

        Raises:
          PlatformError: the platform did not accept the call.
        """
        ...


class UnconfiguredPlatform:
    """Used when no platform is configured."""

    async def reboot(self, vm: VmId, request: str) -> None:
        """Raise `PlatformError`."""
        raise PlatformError(f"reboot of {vm}: no platform is configured")


class HttpPlatform:
    """Calls the platform's HTTP interface at `url`."""

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self.client = client
        self.url = url.rstrip("/")

    async def reboot(self, vm: VmId, request: str) -> None:
        """Request a reboot of `vm`; `request` is the idempotency key.

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
