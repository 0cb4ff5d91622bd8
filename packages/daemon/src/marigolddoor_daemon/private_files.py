"""Files with keys or tokens."""

import os
import stat
from pathlib import Path

from marigolddoor_daemon.errors import PrivateFileError

__all__ = ["check_private_file", "read_private_file"]

PRIVATE_MODE = 0o600


def check_private_file(path: Path) -> None:
    """Check that only its owner can read and write `path`.

    Raises:
      PrivateFileError: it is missing, not a file, or has a mode other than 0600.
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
    # The mode is taken from the open file, so that the file can't be exchanged after the check.
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
