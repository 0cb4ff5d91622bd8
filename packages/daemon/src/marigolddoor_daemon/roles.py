"""Starts the roles of a process."""

from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import anyio

from marigolddoor_daemon.errors import RoleMissingError
from marigolddoor_daemon.settings import Role, Settings

__all__ = ["RUNNERS", "RoleRunner", "run_roles"]

# Runs a role until the event is set, then shuts it down gracefully and returns.
RoleRunner = Callable[[Settings, anyio.Event], Coroutine[Any, Any, None]]

# The entry and control packages are connected here.
RUNNERS: Mapping[Role, RoleRunner] = {}


async def run_roles(settings: Settings, stopping: anyio.Event) -> None:
    """Run every role of `settings` on this loop until `stopping` is set.

    Raises:
      RoleMissingError: this build doesn't contain one of the roles; none was started.
    """
    missing = [role.value for role in settings.roles if role not in RUNNERS]
    if missing:
        raise RoleMissingError(f"this build has no role {', '.join(missing)}")
    async with anyio.create_task_group() as group:
        for role in settings.roles:
            group.start_soon(RUNNERS[role], settings, stopping)
