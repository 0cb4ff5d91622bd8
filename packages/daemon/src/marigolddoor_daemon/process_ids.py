"""Ids of processes."""

import secrets

from marigolddoor_core.ids import ProcessId

from marigolddoor_daemon.settings import Role, Settings

__all__ = ["new_process_id"]

# 24 bits: two starts of one process get the same id once in 16 million times.
START_BYTES = 3


def new_process_id(settings: Settings, role: Role) -> ProcessId:
    """Return an id for `role` that is different at each start.

    Event ids, claims and reports carry it. With the plain name, a restarted process would count its
    events from 1 again under the same ids, and two roles in one process would share them.
    """
    start = secrets.token_hex(START_BYTES)
    name = settings.name if len(settings.roles) == 1 else f"{settings.name}-{role.value}"
    return ProcessId(f"{name}.{start}")
