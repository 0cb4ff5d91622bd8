"""The daemon `marigolddoord`.

Exit status: 0 after a shutdown, 1 after a failure, 2 for invalid arguments or settings.
"""

import argparse
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import anyio
from anyio.abc import TaskStatus
from loguru import logger
from marigolddoor_core.errors import MarigolddoorError

from marigolddoor_daemon.errors import SettingsError
from marigolddoor_daemon.logs import configure_logging
from marigolddoor_daemon.roles import run_roles
from marigolddoor_daemon.settings import Settings, load_settings

__all__ = ["main"]

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon; return its exit status."""
    options = _parser().parse_args(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    if options.check:
        roles = ", ".join(role.value for role in settings.roles)
        print(f"{options.settings}: correct ({settings.name} in {settings.data_centre}: {roles})")
        return EXIT_SUCCESS
    configure_logging(settings.log, settings.name)
    try:
        anyio.run(_run, settings)
    except* (MarigolddoorError, OSError) as group:
        _log_failures(group)
        failed = True
    else:
        failed = False
    logger.info("daemon: stopped.")
    return EXIT_FAILURE if failed else EXIT_SUCCESS


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="marigolddoord",
        description="Runs the roles entry and control of marigolddoor.",
        epilog="example: marigolddoord --settings /etc/marigolddoor/entry-1.toml --check",
    )
    parser.add_argument("--settings", required=True, type=Path, help="the settings file (TOML)")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser


async def _run(settings: Settings) -> None:
    stopping = anyio.Event()
    logger.info("daemon: starting {}.", settings.name)
    async with anyio.create_task_group() as group:
        await group.start(_watch_signals, stopping, group.cancel_scope)
        await run_roles(settings, stopping)
        group.cancel_scope.cancel()


async def _watch_signals(
    stopping: anyio.Event,
    roles_scope: anyio.CancelScope,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Shut down gracefully on the first signal, and cancel all roles on the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for number in signals:
            logger.info("daemon: {} received.", signal.Signals(number).name)
            if stopping.is_set():
                roles_scope.cancel()
            stopping.set()


def _log_failures(failure: BaseException) -> None:
    if isinstance(failure, BaseExceptionGroup):
        for part in failure.exceptions:
            _log_failures(part)
    else:
        logger.error("daemon: failed with {}: {}.", type(failure).__name__, failure)


if __name__ == "__main__":
    sys.exit(main())
