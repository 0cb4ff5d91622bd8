"""Starts the roles of a process on one event loop."""

import ssl
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

import anyio
from marigolddoor_control.operators import ListenerTls
from marigolddoor_control.process import ControlProcess, ControlProcessSettings
from marigolddoor_entry.runtime import EntryRuntime, EntryRuntimeSettings
from marigolddoor_entry.settings import EntrySettings

from marigolddoor_daemon.process_ids import new_process_id
from marigolddoor_daemon.settings import Role, Settings, TlsSettings
from marigolddoor_daemon.timeline_file import write_timeline_file

__all__ = ["RUNNERS", "RoleRunner", "entry_settings", "run_roles"]

# Runs a role until the event is set, then shuts it down gracefully and returns.
RoleRunner = Callable[[Settings, anyio.Event], Coroutine[Any, Any, None]]


async def run_roles(settings: Settings, stopping: anyio.Event) -> None:
    """Run all roles of `settings` until `stopping` is set."""
    async with anyio.create_task_group() as group:
        for role in settings.roles:
            group.start_soon(RUNNERS[role], settings, stopping)


def entry_settings(settings: Settings) -> EntryRuntimeSettings:
    """Return the settings of the role `entry`."""
    entry = settings.entry
    assert entry is not None
    return EntryRuntimeSettings(
        EntrySettings(
            new_process_id(settings, Role.ENTRY),
            settings.data_centre,
            entry.callers,
            entry.targets,
            limits=entry.limits,
        ),
        entry.peer,
        entry.peers,
        entry.control,
        settings.timeline.capacity,
    )


async def run_entry(settings: Settings, stopping: anyio.Event) -> None:
    """Run the role `entry`."""
    runtime = EntryRuntime(
        entry_settings(settings),
        settings.key,
        _server_tls(settings.tls),
        _client_tls(settings.tls),
    )
    with write_timeline_file(settings, Role.ENTRY, runtime.recorder):
        await runtime.run(stopping)


async def run_control(settings: Settings, stopping: anyio.Event) -> None:
    """Run the role `control`."""
    control = settings.control
    assert control is not None
    tls = settings.tls
    process = ControlProcess(
        ControlProcessSettings(
            new_process_id(settings, Role.CONTROL),
            control.replica,
            control.peer,
            tuple(member.address for member in control.members if member.address != control.peer),
            control.data_folder,
            control.operators,
            control.tokens,
            control.platform,
            None if tls is None else ListenerTls(tls.certificate, tls.key),
            settings.timeline.capacity,
        ),
        settings.key,
        _server_tls(tls),
        _client_tls(tls),
    )
    with write_timeline_file(settings, Role.CONTROL, process.recorder):
        await process.run(stopping)


RUNNERS: Mapping[Role, RoleRunner] = {Role.ENTRY: run_entry, Role.CONTROL: run_control}


def _server_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    if tls.authority is not None:
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _client_tls(tls: TlsSettings | None) -> ssl.SSLContext | None:
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    # Peers are IP addresses from the settings, and are authenticated by the shared key.
    context.check_hostname = False
    return context
