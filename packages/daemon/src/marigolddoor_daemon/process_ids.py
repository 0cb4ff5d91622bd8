"""Process ids that are unique for each start."""

import secrets

from marigolddoor_core.ids import ProcessId

from marigolddoor_daemon.settings import Role, Settings

__all__ = ["new_process_id"]

# With 24 bits, two starts of a process get the same id with a probability of 1 in 16 million.
START_ID_BYTES = 3


def new_process_id(settings: Settings, role: Role) -> ProcessId:
    """Return an id for `role`, different at each start.

    It is part of event ids, claims and reports. With the plain name, a restarted process would
    reuse event ids, as it numbers its events from 1 again, and two roles would share them.
    """
    start = secrets.token_hex(START_ID_BYTES)
    name = settings.name if len(settings.roles) == 1 else f"{settings.name}-{role.value}"
    return ProcessId(f"{name}.{start}")
