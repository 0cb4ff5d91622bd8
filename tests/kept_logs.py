"""Folders for systems under test, whose logs are kept if the test fails.

The logs are copied to `build/test-logs`, and their last lines are printed, so that they are part of
the output of CI.
"""

import contextlib
import os
import shutil
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path

from loguru import logger

ROOT = Path(__file__).resolve().parent.parent
KEPT = ROOT / "build" / "test-logs"
PRINTED_LINES = 30


@contextlib.contextmanager
def system_folder(kept: Path = KEPT) -> Iterator[Path]:
    """Yield a temporary folder; keep the files `log*.txt` in it if the body raises."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        try:
            yield folder
        except BaseException:
            keep_logs(folder, kept)
            raise


@contextlib.contextmanager
def system_folder_with_log(kept: Path = KEPT) -> Iterator[Path]:
    """Do the same for a system in this process, whose log lines are written to the folder."""
    with system_folder(kept) as folder:
        logger.enable("marigolddoor_control")
        sink = logger.add(folder / "log.txt", level="INFO", format="{time} {level} {message}")
        try:
            yield folder
        finally:
            logger.remove(sink)


def keep_logs(folder: Path, kept: Path) -> None:
    """Copy the logs of a system, and print the end of each."""
    logs = sorted(folder.glob("log*.txt"))
    if not logs:
        return
    target = kept / f"{os.getpid()}-{time.time_ns()}"
    target.mkdir(parents=True)
    print(f"logs of the system are kept in {os.path.relpath(target, ROOT)}")
    for log in logs:
        shutil.copy(log, target)
        lines = log.read_text(errors="replace").splitlines()
        print(f"{log.name}, the last of {len(lines)} lines:")
        for line in lines[-PRINTED_LINES:]:
            print(f"  {line}")
