"""Access to files with keys or tokens."""

import os
import stat
from pathlib import Path

from marigolddoor_daemon.errors import PrivateFileError

__all__ = ["check_private_file", "read_private_file"]

PRIVATE_MODE = 0o600


def check_private_file(path: Path) -> None:
    """Check that `path` is a file with mode 0600.

    Raises:
      PrivateFileError: it is missing, not a regular file, or has another mode.
    """
    os.close(_open_private(path))


def read_private_file(path: Path) -> bytes:
    """Return the contents of `path`.

    Raises:
      PrivateFileError: as for `check_private_file`.
    """
    with os.fdopen(_open_private(path), "rb") as file:
        return file.read()


def _open_private(path: Path) -> int:
    # The mode is read from the open descriptor, so the file cannot be replaced after the check.
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC | os.O_NONBLOCK)
    except OSError as error:
        raise PrivateFileError(f"can't be read ({error.strerror})") from error
    status = os.fstat(descriptor)
    mode = stat.S_IMODE(status.st_mode)
    problem = ""
    if not stat.S_ISREG(status.st_mode):
        problem = "is not a file"
    elif mode != PRIVATE_MODE:
        problem = f"has mode {mode:04o}"
    if problem:
        os.close(descriptor)
        raise PrivateFileError(problem)
    return descriptor
